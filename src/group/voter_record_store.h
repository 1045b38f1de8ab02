#pragma once

#include "lease/voter_record.h"

namespace balancer::group {

// Where a voter's record is kept over restarts.
class VoterRecordStore {
 public:
  virtual ~VoterRecordStore() = default;
  // Writes the record and syncs it. False: it is not on disk, and no reply that depends on it may
  // be sent.
  virtual bool save(const lease::VoterRecord& record) = 0;
};

}  // namespace balancer::group

#pragma once

#include "lease/voter_record.h"

namespace balancer::group {

// Persistent storage of a voter's record.
class VoterRecordStore {
 public:
  virtual ~VoterRecordStore() = default;
  // Writes the record and syncs it. Returns false if the record is not on disk; no reply that
  // depends on it may then be sent.
  virtual bool save(const lease::VoterRecord& record) = 0;
};

}  // namespace balancer::group

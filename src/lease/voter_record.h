#pragma once

#include <map>
#include <string>

#include "lease/messages.h"

namespace balancer::lease {

// The state of a voter that must survive a crash. Stored on disk as wire::VoterRecord
// (proto/group_wire.h).
struct VoterRecord {
  // The newest grant of an address. Its expiry is not stored, so that a renewal requires no write.
  struct Grant {
    Term term = 0;
    InstanceId holder;
    Duration duration{0};  // for which the voter keeps the grant; 0: an older version's record
    bool operator==(const Grant&) const = default;
  };
  VoterSet voters;                      // the set that the voter uses
  std::map<std::string, Grant> grants;  // by address
  // Paxos state for the choice of the set that follows `voters`.
  Ballot promised_ballot{};
  Ballot accepted_ballot{};    // empty: nothing was accepted
  VoterSet accepted_voters{};  // the set accepted under accepted_ballot
  // An earlier record was lost, together with the sets accepted until then.
  bool record_lost = false;
  bool operator==(const VoterRecord&) const = default;
};

}  // namespace balancer::lease

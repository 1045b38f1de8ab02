#pragma once

#include <map>
#include <string>

#include "lease/messages.h"

namespace balancer::lease {

// What a voter must remember over a crash. On disk as wire::VoterRecord (proto/group_wire.h).
struct VoterRecord {
  // The newest grant of an address. When it expires is not stored, so that a renewal costs no
  // write.
  struct Grant {
    Term term = 0;
    InstanceId holder;
    bool operator==(const Grant&) const = default;
  };
  VoterSet voters;                      // that the voter uses
  std::map<std::string, Grant> grants;  // by address
  // Paxos state of the choice of the set that follows `voters`.
  Ballot promised_ballot{};
  Ballot accepted_ballot{};    // empty: nothing was accepted
  VoterSet accepted_voters{};  // under accepted_ballot
  // A record before this one was lost, with what had been accepted by then.
  bool record_lost = false;
  bool operator==(const VoterRecord&) const = default;
};

}  // namespace balancer::lease

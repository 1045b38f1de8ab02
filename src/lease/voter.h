#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lease/messages.h"
#include "lease/voter_record.h"

namespace balancer::lease {

// Grants the lease of each address to one holder at a time, on this voter's monotonic clock. No I/O
// and no clock; `now` comes with every call and never goes back.
//
// Guarantee: from a grant until LeaseTimes::duration has passed on this voter's clock no other
// holder is granted the address, over a crash too. The caller must therefore have record() on disk
// before it sends a reply whose decision says `record_changed`; where the record cannot be written,
// it must send nothing.
//
// Expiry times are not stored. A voter that restarts takes each grant in its record as given just
// now. One without a record (a new folder, an unreadable file) grants nothing for a whole lease, by
// when any grant that it has forgotten has expired. An empty record would claim that nothing was
// granted, so none may be written before the first decision asks for it.
class Voter {
 public:
  // `record`: as it was on disk; none if there was no record. `initial_voters`: the voters of a new
  // group, used where there is no record.
  Voter(std::string name, const LeaseTimes& times, const std::optional<VoterRecord>& record,
        const VoterSet& initial_voters, Time now);

  struct VoteDecision {
    VoteReply reply;
    bool record_changed = false;  // record() must be on disk before the reply is sent
  };
  VoteDecision on_vote_request(Time now, const VoteRequest& request);

  struct ReconfigurationDecision {
    ReconfigurationReply reply;
    bool record_changed = false;  // record() must be on disk before the reply is sent
  };
  // Majorities of two sets that differ by one name share a voter, which carries its grants from one
  // set to the other; those of sets two versions apart may not. So a voter accepts a successor only
  // once it has used the current set for a lease: by the time that the successor is chosen, by a
  // majority of the current set, every lease under the set before has expired and none can be
  // granted any more. That any voter uses a set proves that the set was chosen, so whoever has seen
  // that may send kAdopt to a voter that is behind.
  ReconfigurationDecision on_reconfiguration(Time now, const ReconfigurationRequest& request);

  // A set of this version exists. If it is two versions ahead, a majority has left this voter's
  // set (to which it may have returned by losing its record): it then grants nothing until it has
  // adopted a newer one.
  void on_voter_set_seen(std::uint32_t version) {
    newest_version_seen_ = std::max(newest_version_seen_, version);
  }

  const VoterRecord& record() const { return record_; }
  // How long this voter still grants nothing because it has lost its record; 0 if it has not.
  Duration remaining_recovery(Time now) const {
    return recovering_until_ > now ? recovering_until_ - now : Duration{0};
  }
  // All state that future decisions depend on; for tests that compare states.
  std::string fingerprint() const;

 private:
  // What is known of a grant beyond the record.
  struct GrantState {
    Time expires_at{0};
    std::string reserved_for;  // after a release: the successor's name
    Time reserved_until{0};
    bool is_released = false;
  };

  void release(Time now, const VoteRequest& request);
  // Decides on a first lease or a renewal; true if the record has changed.
  bool decide_lease(Time now, const VoteRequest& request, VoteReply& reply);
  static bool is_held(const VoterRecord::Grant& grant, const GrantState& state, Time now) {
    return !state.is_released && state.expires_at > now && !grant.holder.empty();
  }
  VoterRecord::Grant newest_grant(const std::string& address) const;
  GrantState grant_state(const std::string& address) const;

  void adopt(Time now, const ReconfigurationRequest& request);
  // Why a kPrepare or kAccept is rejected; empty if it is not.
  std::string rejection_reason(Time now, const ReconfigurationRequest& request) const;

  const std::string name_;
  const LeaseTimes times_;
  VoterRecord record_;
  std::map<std::string, GrantState> grant_states_;  // by address; one for each grant on record
  Time recovering_until_;
  std::uint32_t newest_version_seen_ = 0;
  Time set_adopted_at_;
};

// Names are sorted and unique, and there are 1 to kMaxVoters of them.
bool is_valid(const VoterSet& voters);
// Whether `to` may follow `from`: the next version, with one name more or less.
bool is_single_step(const VoterSet& from, const VoterSet& to);

}  // namespace balancer::lease

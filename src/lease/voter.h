#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lease/messages.h"
#include "lease/voter_record.h"

namespace balancer::lease {

// Grants the lease of each address to one holder at a time, on this voter's monotonic clock. Owned
// by GroupNode. Performs no I/O and reads no clock; `now` is passed to every call and must not
// decrease.
//
// Guarantee: after a grant, no other holder is granted the address until the duration that the
// reply states has passed on this voter's clock, even across a crash or a restart with another
// duration. The caller must therefore write record() to disk before it sends the reply of a
// decision with `record_changed`; if the record cannot be written, it must not send the reply.
//
// Expiry times are not stored. A restarted voter treats each grant in its record as if it had just
// been given, for the duration in the record. A voter without a record (a new folder, an unreadable
// file) grants nothing for the duration of a lease, after which any grant that it has forgotten has
// expired. An empty record would state that nothing was granted, so none may be written before the
// first decision that requires it.
class Voter {
 public:
  // `record`: the record on disk, or nullopt if there is none. `initial_voters`: the voters of a
  // new group, used if there is no record.
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
  // set to the other; majorities of sets two versions apart may not. A voter therefore accepts a
  // successor only after it has used the current set for the duration of a lease: when a majority
  // of the current set chooses the successor, every lease under the previous set has expired and no
  // more can be granted under it. If any voter uses a set, the set was chosen; an instance that has
  // seen a set in use may therefore send kAdopt to a voter with an older set.
  ReconfigurationDecision on_reconfiguration(Time now, const ReconfigurationRequest& request);

  // Reports that a set of this version exists. If it is two versions newer than this voter's set, a
  // majority has left that set (to which this voter may have returned by losing its record). The
  // voter then grants nothing until it has adopted a newer set.
  void on_voter_set_seen(std::uint32_t version) {
    newest_version_seen_ = std::max(newest_version_seen_, version);
  }

  const VoterRecord& record() const { return record_; }
  // Returns for how much longer this voter grants nothing because it has lost its record; 0 if it
  // has not.
  Duration remaining_recovery(Time now) const {
    return recovering_until_ > now ? recovering_until_ - now : Duration{0};
  }
  // Returns all state that future decisions depend on; for tests that compare states.
  std::string fingerprint() const;

 private:
  // The state of a grant that is not part of the record.
  struct GrantState {
    Time expires_at{0};
    std::string reserved_for;  // after a release: the successor's name
    Time reserved_until{0};
    bool is_released = false;
  };

  void release(Time now, const VoteRequest& request);
  // Decides on a first lease or a renewal. Returns whether the record has changed.
  bool decide_lease(Time now, const VoteRequest& request, VoteReply& reply);
  static bool is_held(const VoterRecord::Grant& grant, const GrantState& state, Time now) {
    return !state.is_released && state.expires_at > now && !grant.holder.empty();
  }
  // Extends a grant to its present holder. Returns whether the record has changed.
  bool renew(Time now, VoterRecord::Grant& grant, GrantState& state);
  // Returns the longest duration for which this voter keeps a grant.
  Duration longest_grant() const;
  VoterRecord::Grant newest_grant(const std::string& address) const;
  GrantState grant_state(const std::string& address) const;

  void adopt(Time now, const ReconfigurationRequest& request);
  // Returns why a kPrepare or kAccept request is rejected, or an empty string if it is accepted.
  std::string rejection_reason(Time now, const ReconfigurationRequest& request) const;

  const std::string name_;
  const LeaseTimes times_;
  VoterRecord record_;
  std::map<std::string, GrantState> grant_states_;  // by address; one for each grant on record
  Time recovering_until_;
  std::uint32_t newest_version_seen_ = 0;
  Time voter_set_adopted_at_;
};

// Returns whether the names are sorted and unique, and there are 1 to kMaxVoters of them.
bool is_valid(const VoterSet& voters);
// Returns whether `to` may follow `from`: it has the next version, and one name more or fewer.
bool is_single_step(const VoterSet& from, const VoterSet& to);

}  // namespace balancer::lease

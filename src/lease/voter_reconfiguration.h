#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.h"

namespace balancer::lease {

// Drives one reconfiguration of the voters: adds a voter, or removes one. Owned by GroupNode.
// Performs no I/O and reads no clock; `now` is passed to every call and must not decrease.
//
//   stage     sends to                   ends when
//   prepare   voters of the current set  a quorum has promised: accept
//   accept    voters of the current set  a quorum has accepted, so the set is chosen: adopt
//   adopt     voters of the new set      a majority uses it: done if it is the desired set, else
//                                        (another driver's set was completed) prepare again
//
// A quorum is a majority of the voters, counting only those that have never lost their record, or
// all voters: a voter that has lost its record may have accepted a set that it no longer reports.
// The desired set is proposed only if a majority of its voters is reachable and up to date;
// otherwise the group could make no further decision, not even to revert the change.
class VoterReconfiguration {
 public:
  // `self`: the name of the driver. `number`: the number of this attempt, larger than that of any
  // earlier attempt under the same name. `voter`: the name of the voter to add or remove.
  VoterReconfiguration(std::string self, std::uint64_t number, const VoterSet& current,
                       std::string voter, bool add, std::uint64_t seed, Time now);

  void on_reply(Time now, const std::string& from, const ReconfigurationReply& reply);
  void on_timer(Time now);
  Time next_timer_at() const;  // when on_timer() is due; Time::max() once there is an outcome

  struct OutgoingRequest {
    std::string to;  // a voter's name
    ReconfigurationRequest request;
  };
  std::vector<OutgoingRequest> take_requests() { return std::exchange(requests_, {}); }

  struct Outcome {
    bool succeeded = false;  // also false if it is unknown whether the set will be chosen
    std::string message;     // one line for the operator
  };
  const std::optional<Outcome>& outcome() const { return outcome_; }
  // Returns the newest set that is known to be chosen.
  const VoterSet& voters() const { return current_; }

  // Time limit of the reconfiguration, and interval at which unanswered requests are repeated.
  static constexpr Duration kTimeout = std::chrono::seconds(6);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);

 private:
  enum class Stage { kPrepare, kAccept, kAdopt };
  // Voters that have agreed in a stage, and whether each has lost its record.
  using Agreements = std::map<std::string, bool>;

  void start_prepare(Time now);
  void send_requests(Time now);
  void accept_if_ready(Time now);
  void on_prepare_reply(Time now, const std::string& from, const ReconfigurationReply& reply);
  void on_accept_reply(Time now, const std::string& from, const ReconfigurationReply& reply);
  void on_adopt_reply(Time now, const std::string& from, const ReconfigurationReply& reply);
  void notify_removed_voters();
  void finish(bool succeeded, std::string message);
  bool is_quorum(const Agreements& agreements) const;
  VoterSet desired_set() const;

  const std::string self_;
  const std::uint64_t number_;
  const std::string voter_;
  const bool add_;
  std::minstd_rand random_;
  const Time deadline_;
  Stage stage_ = Stage::kPrepare;
  VoterSet current_;
  VoterSet next_;  // the proposed set; valid from stage kAccept on
  Ballot ballot_;
  std::uint64_t highest_ballot_seen_ = 0;
  Agreements promised_;
  Agreements accepted_;
  std::set<std::string> reachable_;  // voters of the desired set that have answered
  std::set<std::string> adopted_;
  // A set that another driver had accepted and that may have been chosen: it must be proposed
  // first.
  std::optional<VoterSet> unfinished_set_;
  Ballot unfinished_ballot_;
  std::string last_rejection_;
  Time retry_at_;
  std::vector<OutgoingRequest> requests_;
  std::optional<Outcome> outcome_;
};

}  // namespace balancer::lease

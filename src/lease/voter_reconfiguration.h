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

// Drives one reconfiguration of the voters: adds a voter, or removes one. No I/O and no clock;
// `now` comes with every call and never goes back.
//
//   stage     asks                       leaves it when
//   prepare   voters of the current set  a quorum has promised: accept
//   accept    voters of the current set  a quorum has accepted, so the set is chosen: adopt
//   adopt     voters of the new set      a majority uses it: done if it is the desired set, else
//                                        (another driver's set was completed) prepare again
//
// A quorum is a majority of the voters that have never lost their record, or all voters: one that
// has lost it may have accepted a set that it no longer reports. The desired set is proposed only
// where a majority of its voters is reachable and up to date; otherwise the group could decide
// nothing more, not even to take the change back.
class VoterReconfiguration {
 public:
  // `self`: the driver's name. `number`: of this attempt, larger than those before under that name.
  // `voter`: whom to add, or to remove.
  VoterReconfiguration(std::string self, std::uint64_t number, const VoterSet& current,
                       std::string voter, bool add, std::uint64_t seed, Time now);

  void on_reply(Time now, const std::string& from, const ReconfigurationReply& reply);
  void on_timer(Time now);
  Time next() const;  // when on_timer() is due; Time::max() once there is an outcome

  struct OutgoingRequest {
    std::string to;  // a voter's name
    ReconfigurationRequest request;
  };
  std::vector<OutgoingRequest> take_requests() { return std::exchange(requests_, {}); }

  struct Outcome {
    bool succeeded = false;  // false also where it is not known whether the set will be chosen
    std::string message;     // one line for the operator
  };
  const std::optional<Outcome>& outcome() const { return outcome_; }
  // The newest set that it has seen chosen.
  const VoterSet& voters() const { return current_; }

  // How long it tries, and how often it sends a request again that was not answered.
  static constexpr Duration kTimeout = std::chrono::seconds(6);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);

 private:
  enum class Stage { kPrepare, kAccept, kAdopt };
  // Voters that have agreed in a stage, and whether they have lost their record.
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
  VoterSet next_;  // that is proposed; from stage kAccept on
  Ballot ballot_;
  std::uint64_t highest_ballot_seen_ = 0;
  Agreements promised_;
  Agreements accepted_;
  std::set<std::string> reachable_;  // voters of the desired set that have answered
  std::set<std::string> adopted_;
  // What another driver has had accepted, and may have been chosen: it must be proposed first.
  std::optional<VoterSet> unfinished_set_;
  Ballot unfinished_ballot_;
  std::string last_rejection_;
  Time retry_at_;
  std::vector<OutgoingRequest> requests_;
  std::optional<Outcome> outcome_;
};

}  // namespace balancer::lease

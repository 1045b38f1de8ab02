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

// Drives one change of the voters: a voter more, or one less. No I/O and no clock; `now` comes with
// every call and never goes back.
//
//   asks          who goes by the present set, and what was accepted    a quorum: proposes
//   proposes      the wish, or what another has left half done          a quorum: it is chosen
//   tells         all voters of the new set                             a majority goes by it:
//   done,
//                                                                       or the wish's own turn
//
// A quorum is a majority of the voters that have never lost their memory, or all voters. The wish
// is proposed only where a majority of the set that there would be answers and is up to date:
// otherwise the group could decide nothing more, taking the change back included.
class VoterReconfiguration {
 public:
  // `self`: who drives; `number`: of this attempt, larger than those before under its name.
  VoterReconfiguration(std::string self, std::uint64_t number, const Voters& present,
                       std::string name, bool add, std::uint64_t seed, Time now);

  void on_changed(Time now, const std::string& from, const Changed& changed);
  void on_timer(Time now);
  Time next() const;

  struct Send {
    std::string to;
    Change change;
  };
  std::vector<Send> take_sends() { return std::exchange(sends_, {}); }

  struct Outcome {
    bool done = false;
    std::string line;
  };
  const std::optional<Outcome>& outcome() const { return outcome_; }
  // The newest set that it has seen chosen.
  const Voters& voters() const { return present_; }

  static constexpr Duration kTakes = std::chrono::seconds(6),
                            kAgain = std::chrono::milliseconds(200);

 private:
  enum class Stage { kAsks, kProposes, kTells };

  void begin(Time now);
  void send_round(Time now);
  void propose_if_ready(Time now);
  void finish(bool done, std::string line);
  bool quorum(const std::map<std::string, bool>& forgot) const;
  Voters wish() const;

  const std::string self_;
  const std::uint64_t number_;
  const std::string name_;
  const bool add_;
  std::minstd_rand random_;
  const Time until_;
  Stage stage_ = Stage::kAsks;
  Voters present_, next_;
  Ballot ballot_;
  std::uint64_t highest_ = 0;             // ballot heard of
  std::map<std::string, bool> promised_;  // by voter: whether it has forgotten
  std::map<std::string, bool> accepted_;
  std::set<std::string> ready_, told_;
  Ballot left_at_;  // of what another has left half done
  std::optional<Voters> left_;
  std::string last_no_;
  Time again_at_;
  std::vector<Send> sends_;
  std::optional<Outcome> outcome_;
};

}  // namespace balancer::lease

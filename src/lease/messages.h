#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "structures/time.h"

// What instances and voters say to each other about who holds a service address. Plain data; the
// rules are in voter.h and tenure.h.
namespace balancer::lease {

// Counts the tenures of one address. Each has a term of its own, larger than those before: it goes
// into every message and every announcement, so that whoever hears two knows the newer.
using Term = std::uint64_t;

// An instance in one of its lives: a process that starts again is another.
struct Holder {
  std::string name;
  std::uint64_t life = 0;
  bool operator==(const Holder&) const = default;
  auto operator<=>(const Holder&) const = default;
  bool none() const { return name.empty(); }
};

// Who votes. Changed one at a time, and numbered.
struct Voters {
  std::uint32_t version = 1;
  std::vector<std::string> names;  // sorted

  std::size_t majority() const { return names.size() / 2 + 1; }
  bool has(const std::string& name) const;
  bool operator==(const Voters&) const = default;
};
inline constexpr std::size_t kMaxVoters = 7;

// Numbers attempts to change the voters; of two the larger wins.
struct Ballot {
  std::uint64_t number = 0;
  std::string by;
  bool operator==(const Ballot&) const = default;
  auto operator<=>(const Ballot&) const = default;
  bool none() const { return number == 0; }
};

struct LeaseTimes {
  // For so long a voter keeps its promise, on its own clock, from after it gave it.
  Duration lease{std::chrono::milliseconds(1000)};
  // In any stretch of time the clocks of two machines differ by at most this part of it.
  double drift = 0.01;
  // Before its lease ends a holder withdraws by so much: what routers take to act on it.
  Duration withdraw_lead{std::chrono::milliseconds(150)};
  // A holder that hands over in order goes on being announced beside its successor for at most this
  // long, and voters keep the address for that successor as long.
  Duration overlap{std::chrono::milliseconds(300)};
  // Without enough answers by then an attempt at an election or a renewal has failed.
  Duration patience{std::chrono::milliseconds(150)};
  // Scales the waits by chance that keep candidates out of step; 0 only in tests that walk all
  // states.
  double chance = 1;

  // What a holder may count on, on its own clock, from before it asked: in true time no more than
  // the slowest voter's promise lasts.
  Duration usable() const { return from_seconds(seconds(lease) * (1 - drift) / (1 + drift)); }
};

// To a voter.
struct VoteRequest {
  enum class Kind : std::uint8_t {
    kQuery,    // who holds it? promises nothing
    kLease,    // a first lease or its renewal
    kRelease,  // the holder gives it up; for `successor` alone for a while, if there is one
  };
  Kind kind = Kind::kQuery;
  std::string address;
  Term term = 0;
  Holder holder;
  std::uint64_t number = 0;  // of the ask, among those of its sender
  std::uint32_t voters = 0;  // the version that the sender goes by
  std::string successor;
};

// A voter's answer.
struct VoteReply {
  enum class Verdict : std::uint8_t {
    kGranted,  // the promise is on disk
    kHeld,     // promised to another, or kept for a successor; `left` is how long still
    kOldTerm,  // `term` has been promised before
    kWaiting,  // the voter has forgotten what it promised, and waits for `left`
    kVoters,   // it goes by another set of voters
    kTold,     // the answer to a query
  };
  Verdict verdict = Verdict::kTold;
  std::string address;
  std::uint64_t number = 0;
  Term term = 0;  // the newest that the voter has promised
  Holder holder;  // to whom
  Duration left{0};
  Voters voters;
};

// From whoever drives a change of the voters: which set is to follow `present`. A single decree of
// Paxos (Lamport 1998) for each set, so that of two drivers' wishes one at most comes about.
struct Change {
  enum class Kind : std::uint8_t {
    kPrepare,  // promise to accept nothing of an older ballot, and say what was accepted
    kAccept,   // accept `next` as the successor of `present`
    kAdopt,    // `next` is chosen: go by it
  };
  Kind kind = Kind::kPrepare;
  std::uint64_t number = 0;  // of the driver's attempt
  Ballot ballot;
  Voters present, next;
  bool by_all = false;  // of kAdopt: every voter of `present` accepted it
};

// A voter's answer to it.
struct Changed {
  Change::Kind kind = Change::Kind::kPrepare;
  std::uint64_t number = 0;
  bool good = false;
  bool forgot = false;  // it has lost its memory once, and what it accepted before
  Voters voters;        // that it goes by now
  Ballot promised;
  Ballot accepted_at;  // none: nothing
  Voters accepted;
  std::string why_not;
};

inline bool Voters::has(const std::string& name) const {
  for (const auto& n : names)
    if (n == name) return true;
  return false;
}

}  // namespace balancer::lease

#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "structures/time.h"

// Messages between instances and voters about the lease of a service address, and between a driver
// and voters about the set of voters. Plain data; the rules are in voter.h, lease_holder.h and
// voter_reconfiguration.h. The numeric values of the enums are on the wire.
namespace balancer::lease {

// Numbers the successive holders of one address. Each election won and each raise by a holder uses
// a larger term; of two messages or announcements the one with the larger term is newer.
using Term = std::uint64_t;

// One process of an instance. A restart under the same name has a larger incarnation, and is
// another holder.
struct InstanceId {
  std::string name;
  std::uint64_t incarnation = 0;
  bool operator==(const InstanceId&) const = default;
  auto operator<=>(const InstanceId&) const = default;
  bool empty() const { return name.empty(); }
};

// The voters of a group. Each set has the version of its predecessor plus one, and differs from it
// by one name.
struct VoterSet {
  std::uint32_t version = 1;
  std::vector<std::string> names;  // sorted, unique, 1 to kMaxVoters

  std::size_t majority() const { return names.size() / 2 + 1; }
  bool has(const std::string& name) const {
    return std::find(names.begin(), names.end(), name) != names.end();
  }
  bool operator==(const VoterSet&) const = default;
};
inline constexpr std::size_t kMaxVoters = 7;

// Paxos ballot of a voter reconfiguration; larger ballots win.
struct Ballot {
  std::uint64_t number = 0;
  std::string proposer;  // breaks ties
  bool operator==(const Ballot&) const = default;
  auto operator<=>(const Ballot&) const = default;
  bool empty() const { return number == 0; }
};

// Times of the lease protocol. Every member of a group must use the same values.
struct LeaseTimes {
  // How long a voter keeps a grant, on its own clock, from the moment it grants. Default: 1000 ms.
  Duration duration{std::chrono::milliseconds(1000)};
  // Largest relative difference between the speeds of two machines' clocks. Default: 0.01.
  double max_clock_drift = 0.01;
  // How long before the end of its lease a holder withdraws its routes, so that routers have acted
  // by the end. Default: 150 ms.
  Duration withdraw_lead{std::chrono::milliseconds(150)};
  // Longest time for which an address that is handed over gracefully stays announced by the old
  // holder, and reserved by the voters for the successor. Default: 300 ms.
  Duration overlap{std::chrono::milliseconds(300)};
  // An election fails without a majority of answers within this time. Default: 150 ms.
  Duration round_timeout{std::chrono::milliseconds(150)};
  // Scales the random delays between candidates; 0 makes them deterministic, for tests that walk
  // all states. Default: 1.
  double jitter_factor = 1;

  // How long a holder may use a lease, on its own clock, from before it sent the request: in true
  // time not longer than any voter keeps its grant.
  Duration holder_duration() const {
    return from_seconds(seconds(duration) * (1 - max_clock_drift) / (1 + max_clock_drift));
  }
};

// Instance to voter.
struct VoteRequest {
  enum class Kind : std::uint8_t {
    kQuery,    // who holds the address? Grants nothing
    kLease,    // a first lease, or its renewal
    kRelease,  // the holder gives the address up; reserved for `successor` if one is named
  };
  Kind kind = Kind::kQuery;
  std::string address;
  Term term = 0;
  InstanceId holder;                    // the sender
  std::uint64_t number = 0;             // of this request; unique for one sender and address
  std::uint32_t voter_set_version = 0;  // that the sender counts majorities by
  std::string successor;                // of kRelease: an instance's name, or empty
};

// Voter to instance.
struct VoteReply {
  enum class Verdict : std::uint8_t {
    kGranted,           // the grant is on disk
    kHeld,              // granted to, or reserved for, another for `remaining`
    kOldTerm,           // the request's term is not larger than `term`, which was granted before
    kUnavailable,       // the voter grants nothing for `remaining`: it has lost its record, or has
                        // no room for another address
    kVoterSetMismatch,  // the voter uses another set of voters: `voters`
    kQueryAnswer,       // the answer to a query, and to a release
  };
  Verdict verdict = Verdict::kQueryAnswer;
  std::string address;
  std::uint64_t number = 0;  // of the request
  Term term = 0;             // the newest that the voter has granted
  InstanceId holder;         // whom it was granted to
  Duration remaining{0};
  VoterSet voters;  // that the voter uses
};

// Between an instance that hands an address over and its successor.
struct TransferMessage {
  enum class Kind : std::uint8_t {
    kInvite,     // the address is reserved for the receiver, which should request it now
    kAnnounces,  // the invited successor holds the address and announces it
  };
  Kind kind = Kind::kInvite;
  std::string address;
  Term term = 0;  // of the sender
};

// Driver of a reconfiguration to voter: which set is to follow `current`. One instance of
// single-decree Paxos (Lamport 1998) for each version, so that of two drivers' proposals at most
// one is chosen.
struct ReconfigurationRequest {
  enum class Kind : std::uint8_t {
    kPrepare,  // promise to accept nothing under an older ballot, and report what was accepted
    kAccept,   // accept `next` as the successor of `current`
    kAdopt,    // `next` is chosen: use it
  };
  Kind kind = Kind::kPrepare;
  std::uint64_t number = 0;  // of the driver's attempt
  Ballot ballot;
  VoterSet current, next;
  bool accepted_by_all = false;  // of kAdopt: every voter of `current` accepted `next`
};

// Voter to driver.
struct ReconfigurationReply {
  ReconfigurationRequest::Kind kind = ReconfigurationRequest::Kind::kPrepare;
  std::uint64_t number = 0;  // of the driver's attempt
  bool ok = false;
  bool record_lost = false;  // the voter may have accepted a set that it no longer knows of
  VoterSet voters;           // that the voter uses
  Ballot promised_ballot;
  Ballot accepted_ballot;        // empty: nothing was accepted
  VoterSet accepted_voters;      // under accepted_ballot
  std::string rejection_reason;  // empty if ok
};

}  // namespace balancer::lease

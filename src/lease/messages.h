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

// Identifies one process of an instance. A process restarted under the same name has a larger
// incarnation and is a different holder.
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

// Times of the lease protocol. While a new duration is introduced member by member, a holder goes
// by what the voters grant; the other values must be the same at every member of a group.
struct LeaseTimes {
  // How long a voter keeps a grant, on its own clock, from the moment it grants, and the longest
  // time for which a holder uses a grant. Default: 1000 ms.
  Duration duration{std::chrono::milliseconds(1000)};
  // Largest relative difference between the speeds of two machines' clocks. Default: 0.01.
  double max_clock_drift = 0.01;
  // How long before the end of its lease a holder withdraws its routes, so that routers have
  // processed the withdrawal when the lease ends. Default: 150 ms.
  Duration withdraw_lead{std::chrono::milliseconds(150)};
  // Longest time in a graceful hand-over for which the old holder keeps announcing the address and
  // the voters reserve it for the successor. Default: 300 ms.
  Duration overlap{std::chrono::milliseconds(300)};
  // A round of an election fails if no majority has agreed within this time. Default: 150 ms.
  Duration round_timeout{std::chrono::milliseconds(150)};
  // Scales the random delays between candidates; 0 makes them deterministic, for tests that
  // enumerate all states. Default: 1.
  double jitter_factor = 1;

  // Returns how long a holder may use a lease that the voters keep for `granted`, on its own clock,
  // counted from before it sent the request. In true time this is no longer than any voter keeps
  // its grant.
  Duration holder_duration(Duration granted) const {
    return from_seconds(seconds(granted) * (1 - max_clock_drift) / (1 + max_clock_drift));
  }
};

// Sent by an instance to a voter.
struct VoteRequest {
  enum class Kind : std::uint8_t {
    kQuery,    // asks for the holder of the address; grants nothing
    kLease,    // a first lease, or its renewal
    kRelease,  // the holder releases the address; reserved for `successor` if it is set
  };
  Kind kind = Kind::kQuery;
  std::string address;
  Term term = 0;
  InstanceId holder;                    // the sender
  std::uint64_t number = 0;             // of this request; unique for one sender and address
  std::uint32_t voter_set_version = 0;  // of the set by which the sender counts majorities
  std::string successor;                // of kRelease: an instance's name, or empty
};

// Sent by a voter to an instance.
struct VoteReply {
  enum class Verdict : std::uint8_t {
    kGranted,           // the grant is on disk
    kHeld,              // granted to or reserved for another instance for `remaining`
    kOldTerm,           // the request's term is not larger than `term`, which was granted before
    kUnavailable,       // the voter grants nothing for `remaining`: it has lost its record, or has
                        // no room for another address
    kVoterSetMismatch,  // the voter uses another set of voters: `voters`
    kQueryAnswer,       // the answer to a query or a release
  };
  Verdict verdict = Verdict::kQueryAnswer;
  std::string address;
  std::uint64_t number = 0;  // of the request
  Term term = 0;             // the newest term that the voter has granted
  InstanceId holder;         // the holder to which that term was granted
  // How much longer the voter keeps the grant, its own to the sender included; 0: not stated.
  Duration remaining{0};
  VoterSet voters;  // the set that the voter uses
};

// Sent between an instance that hands an address over and its successor.
struct TransferMessage {
  enum class Kind : std::uint8_t {
    kInvite,     // the address is reserved for the receiver, which should request it now
    kAnnounces,  // the invited successor holds the address and announces it
  };
  Kind kind = Kind::kInvite;
  std::string address;
  Term term = 0;  // of the sender
};

// Sent by the driver of a reconfiguration to a voter, to choose the set that follows `current`.
// Each version is chosen by one instance of single-decree Paxos (Lamport 1998), so that at most one
// of two drivers' proposals is chosen.
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

// Sent by a voter to the driver of a reconfiguration.
struct ReconfigurationReply {
  ReconfigurationRequest::Kind kind = ReconfigurationRequest::Kind::kPrepare;
  std::uint64_t number = 0;  // of the driver's attempt
  bool ok = false;
  bool record_lost = false;  // the voter may have accepted a set that its record no longer has
  VoterSet voters;           // the set that the voter uses
  Ballot promised_ballot;
  Ballot accepted_ballot;        // empty: nothing was accepted
  VoterSet accepted_voters;      // the set accepted under accepted_ballot
  std::string rejection_reason;  // empty if ok
};

}  // namespace balancer::lease

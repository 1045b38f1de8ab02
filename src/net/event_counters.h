#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

// Counters of why connections were closed, requests refused and attempts repeated.
namespace balancer {

enum class Event {
  // connections of clients that were closed
  kClientLeft,            // by the client, or broken
  kClientSilent,          // no request within the idle time
  kClientDidNotRead,      // its responses were not read
  kClientAnsweredLast,    // behind the answer to unreadable or incomplete input, or behind QUIT
  kClientDrained,         // between requests, during a drain
  kClientForDescriptors,  // to make room for another
  kClientValueBroken,     // a long value ended early at its server
  // connections to servers that were closed
  kServerNotConnected,   // not established, or broken before a request was written
  kServerReset,          // by the server, or broken
  kServerUnreadable,     // bytes that cannot be read as an answer
  kServerAnswerStalled,  // an answer that is no longer wanted, or a stream, made no progress
  kServerAbandoned,      // all its requests have ended
  kServerRetired,        // idle, retired or not reusable
  // requests that were refused or failed
  kRefusedForMemory,
  kRefusedAtMaximum,     // too many open requests
  kRefusedNotForwarded,  // the client has left, its time is over, or the lease is not held
  kRefusedSlowInput,     // incomplete input: its client stopped, or memory was short
  kRefusedByPolicy,      // overload, no server, no attempt left or no time
  kFailedByPolicy,       // it may have run
  // attempts
  kAttempt,
  kRepeatedAttempt,  // any but the first of its request
  // commands that change the state of a connection to a RESP server, ahead of a request
  kSetupCommand,
  // RESP nodes whose address another process has taken
  kForeignSlotMap,  // a slot map that names no known node
};
inline constexpr std::size_t kEvents = static_cast<std::size_t>(Event::kForeignSlotMap) + 1;

// The names of the events as operators see them, in the order of the enumeration.
inline constexpr std::array<const char*, kEvents> kEventNames{
    "client_left",           "client_silent",
    "client_did_not_read",   "client_answered_last",
    "client_drained",        "client_closed_for_descriptors",
    "client_value_broken",   "server_not_connected",
    "server_reset",          "server_unreadable",
    "server_answer_stalled", "server_abandoned",
    "server_retired",        "refused_for_memory",
    "refused_at_maximum",    "refused_not_forwarded",
    "refused_slow_input",    "refused_by_policy",
    "failed_by_policy",      "attempts",
    "repeated_attempts",     "setup_commands",
    "foreign_slot_maps"};

class EventCounters {
 public:
  void add(Event event) { ++counts_[static_cast<std::size_t>(event)]; }
  std::uint64_t count(Event event) const { return counts_[static_cast<std::size_t>(event)]; }

 private:
  std::array<std::uint64_t, kEvents> counts_{};
};

}  // namespace balancer

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "structures/time.h"

// Decides which connection to a host takes an attempt, and how many attempts one connection carries
// at once. No I/O, no clock, no threads.
namespace balancer::connection_pool {

// Index of a connection in the caller's table; given out by on_open() and reused after on_closed().
using ConnectionId = std::uint32_t;

// What an attempt requires of its connection.
struct AttemptTraits {
  // The client that sent the request; 0: none in particular. A client gets its answers in the order
  // of its requests, so one that waits behind another of the same client loses nothing by it.
  std::uint64_t client_id = 0;
  // Attempts of one group (0: none) that are in flight together must reach the host in turn where
  // the later one has `must_follow_group` set.
  std::uint64_t order_group = 0;
  bool must_follow_group = false;
  // Response times are learnt per kind of command: a small number that the caller assigns.
  std::uint8_t command_kind = 0;
  // Must never run twice.
  bool non_idempotent = false;
  // The answer carries no request id, so a late duplicate of the previous answer would pass for it.
  bool answer_lacks_id = false;
};

struct ConnectionSelectorSettings {
  // Attempts in flight on one connection. With `shared` false a second one is written behind
  // another only where no further connection can be opened. Default: 1.
  std::size_t max_depth = 1;
  // Whether attempts of several clients share a connection. Default: false.
  bool shared = false;
  // Non-idempotent attempts in flight on one connection: the most that one reset can fail, as none
  // of them may be retried. Default: 64.
  std::size_t max_non_idempotent = 64;
  // Connections that are opened before clients share any; bounds what one reset takes with it.
  // Default: 4.
  std::size_t min_connections_before_sharing = 4;
  // Ratio of attempts that may have to wait behind another client's slow one. Default: 0.002.
  double max_slow_wait_ratio = 0.002;
  // No answer that took less is slow; covers the queue of a busy server and scheduling delays of
  // this process. Default: 2 ms.
  Duration min_slow_threshold{std::chrono::milliseconds(2)};
  // No attempt goes to a connection that has been idle for longer. Default: 5 s.
  Duration max_idle{std::chrono::seconds(5)};
};

// The connections to one host and the attempts in flight on each.
//
// Sharing a connection saves work, but all attempts behind a slow answer wait for it. With a ratio
// p of slow answers, an attempt behind n attempts of other clients waits for a slow one with a
// probability of about n p; the depth up to which clients share keeps this at
// `max_slow_wait_ratio`. An answer is slow if it took far longer than usual since its turn came.
// Kinds of command that are mostly slow do not share a connection with other clients' attempts. A
// connection whose front attempt is overdue gets nothing more.
class ConnectionSelector {
 public:
  explicit ConnectionSelector(const ConnectionSelectorSettings& settings) : settings_(settings) {}

  struct Choice {
    enum class Kind {
      kUse,   // write it on `connection`
      kOpen,  // open a connection for it
      kWait,  // no connection may take it now
    };
    Kind kind = Kind::kWait;
    ConnectionId connection = 0;  // of kUse
  };
  // `may_open`: whether a further connection could be opened. If the chosen connection proves to be
  // closed already, report on_closed() and call again.
  Choice choose(Time now, const AttemptTraits& traits, bool may_open) const;

  // ---- events, reported by the caller

  ConnectionId on_open(Time now);  // a connect has begun
  void on_connected(ConnectionId id, Time now);
  void on_assigned(ConnectionId id, Time now, const AttemptTraits& traits);
  // The front attempt has been answered. `reusable`: the connection stays open for further answers.
  void on_answered(ConnectionId id, Time now, bool reusable);
  // The attempt at this place in the queue was withdrawn before it was written whole.
  void on_withdrawn(ConnectionId id, std::size_t place, Time now);
  void on_retired(ConnectionId id);  // takes nothing more, and closes once nothing is in flight
  void on_closed(ConnectionId id);

  // ---- state

  // Connections that are connecting or connected.
  std::size_t open() const { return open_; }
  // Idle connections, least recently used first.
  const std::vector<ConnectionId>& idle() const { return idle_; }
  Time idle_since(ConnectionId id) const { return connections_[id].last_progress; }
  // Attempts in flight.
  std::size_t depth(ConnectionId id) const { return connections_[id].in_flight.size(); }
  // Whether the front attempt has waited for longer than slow_threshold().
  bool is_overdue(ConnectionId id, Time now) const { return is_overdue(connections_[id], now); }
  // How many attempts of different clients one connection carries at once; at least 1.
  std::size_t shared_depth() const;
  // Answers that took longer are slow.
  Duration slow_threshold() const;
  // Ratio of slow answers among those of kinds that are not slow as a whole.
  double slow_ratio() const { return slow_ratio_; }
  // Whether answers to this kind of command are mostly slow.
  bool is_slow_kind(std::uint8_t command_kind) const {
    return kind_slow_ratios_[command_kind % kKinds] > kSlowKindRatio;
  }

 private:
  static constexpr std::size_t kKinds = 64;
  static constexpr double kSlowKindRatio = 0.2;

  struct InFlightAttempt {
    AttemptTraits traits;
    Time assigned_at;
  };
  struct Connection {
    bool is_open = false;
    bool is_connected = false;
    bool is_reusable = true;
    std::deque<InFlightAttempt> in_flight;  // oldest first
    std::size_t non_idempotent = 0;         // of those in flight
    std::size_t slow_kind = 0;              // of those in flight
    std::size_t answered = 0;
    Time last_progress{0};  // when it last connected, answered or became idle
  };

  bool is_overdue(const Connection& connection, Time now) const;
  bool accepts(const Connection& connection, Time now, const AttemptTraits& traits,
               std::size_t max_foreign) const;
  std::optional<Choice> follow_group(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_own(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_idle(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_least_loaded(Time now, const AttemptTraits& traits,
                                                std::size_t max_foreign) const;
  void remove_in_flight(Connection& connection, std::size_t place);
  void record_latency(std::uint8_t command_kind, Duration latency);
  void mark_idle(ConnectionId id, Time now);

  const ConnectionSelectorSettings settings_;
  std::vector<Connection> connections_;  // by ConnectionId
  std::vector<ConnectionId> free_ids_;
  std::vector<ConnectionId> idle_;
  std::size_t open_ = 0;
  // Moving averages over answers. The initial ratio keeps clients apart until some have come.
  double slow_ratio_ = 0.01;
  Duration usual_latency_{0};
  std::array<double, kKinds> kind_slow_ratios_{};
  int slow_kinds_ = 0;  // kinds over kSlowKindRatio
};

}  // namespace balancer::connection_pool

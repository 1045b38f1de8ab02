#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "structures/time.h"

// Selects the connection to a host on which an attempt is sent, and bounds the number of attempts
// in flight on one connection. No I/O, no clock, no threads.
namespace balancer::connection_pool {

// Index of a connection in the caller's table; assigned by on_open() and reused after on_closed().
using ConnectionId = std::uint32_t;

// What an attempt requires of its connection.
struct AttemptTraits {
  // The client that sent the request; 0 if no particular one. Clients receive answers in the order
  // of their requests, so queueing an attempt behind another of the same client costs no latency.
  std::uint64_t client_id = 0;
  // Group of attempts (0: none) that must reach the host in order: an attempt with
  // `must_follow_group` must arrive after those of its group that are already in flight.
  std::uint64_t order_group = 0;
  bool must_follow_group = false;
  // Kind of command, a small number that the caller assigns. Response times are recorded per kind.
  std::uint8_t command_kind = 0;
  // Must never run twice.
  bool non_idempotent = false;
  // The answer carries no request id, so a late duplicate of the previous answer could be mistaken
  // for it.
  bool answer_lacks_id = false;
};

struct ConnectionSelectorSettings {
  // Maximum number of attempts in flight on one connection. If `shared` is false, an attempt is
  // queued behind another only when no further connection can be opened. Default: 1.
  std::size_t max_depth = 1;
  // Whether attempts of several clients may share a connection. Default: false.
  bool shared = false;
  // Maximum number of non-idempotent attempts in flight on one connection. Bounds how many requests
  // one reset can fail, as none of them may be retried. Default: 64.
  std::size_t max_non_idempotent = 64;
  // Number of connections that are opened before clients share any. Bounds the fraction of attempts
  // that one reset can fail. Default: 4.
  std::size_t min_connections_before_sharing = 4;
  // Maximum ratio of attempts that wait behind a slow attempt of another client. Default: 0.002.
  double max_slow_wait_ratio = 0.002;
  // Lower bound of slow_threshold(). Covers queueing in a busy server and scheduling delays of this
  // process. Default: 2 ms.
  Duration min_slow_threshold{std::chrono::milliseconds(2)};
  // Connections that have been idle for longer are not used. Default: 5 s.
  Duration max_idle{std::chrono::seconds(5)};
};

// Tracks the connections to one host and the attempts in flight on each, and selects a connection
// for each new attempt. Owned by the host's upstream pool.
//
// Sharing a connection saves work, but all attempts behind a slow answer wait for it. With a ratio
// p of slow answers, an attempt behind n attempts of other clients waits for a slow one with a
// probability of about n p; shared_depth() is chosen so that this stays within
// `max_slow_wait_ratio`. An answer is slow if it took far longer than usual, measured from the time
// at which its attempt became the front one. Kinds of command that are often slow (see
// kSlowKindRatio) do not share a connection with attempts of other clients. A connection whose
// front attempt is overdue receives no further attempts.
class ConnectionSelector {
 public:
  explicit ConnectionSelector(const ConnectionSelectorSettings& settings) : settings_(settings) {}

  struct Choice {
    enum class Kind {
      kUse,   // send the attempt on `connection`
      kOpen,  // open a connection for the attempt
      kWait,  // no connection may carry the attempt now
    };
    Kind kind = Kind::kWait;
    ConnectionId connection = 0;  // if `kind` is kUse
  };
  // Selects a connection for an attempt. `may_open`: whether a further connection can be opened. If
  // the selected connection turns out to be closed, call on_closed() and then choose() again.
  Choice choose(Time now, const AttemptTraits& traits, bool may_open) const;

  // ---- events, reported by the caller

  ConnectionId on_open(Time now);  // a connect has begun
  void on_connected(ConnectionId id, Time now);
  void on_assigned(ConnectionId id, Time now, const AttemptTraits& traits);
  // The front attempt has been answered. `reusable`: whether the connection stays open.
  void on_answered(ConnectionId id, Time now, bool reusable);
  // The attempt at this position in the queue was withdrawn before it was written completely.
  void on_withdrawn(ConnectionId id, std::size_t position, Time now);
  void on_retired(ConnectionId id);  // accepts no attempts; closes once none is in flight
  void on_closed(ConnectionId id);

  // ---- state

  // Returns the number of connections that are connecting or connected.
  std::size_t open() const { return open_; }
  // Returns the idle connections, least recently used first.
  const std::vector<ConnectionId>& idle() const { return idle_; }
  Time idle_since(ConnectionId id) const { return connections_[id].last_progress; }
  // Returns the number of attempts in flight.
  std::size_t depth(ConnectionId id) const { return connections_[id].in_flight.size(); }
  // Returns whether the front attempt has waited for longer than slow_threshold().
  bool is_overdue(ConnectionId id, Time now) const { return is_overdue(connections_[id], now); }
  // Returns how many attempts of different clients one connection carries at once; at least 1.
  std::size_t shared_depth() const;
  // Returns the latency above which an answer is slow.
  Duration slow_threshold() const;
  // Returns the ratio of slow answers, excluding the kinds of command for which is_slow_kind()
  // holds.
  double slow_ratio() const { return slow_ratio_; }
  // Returns whether the ratio of slow answers to this kind of command exceeds kSlowKindRatio.
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
    std::size_t non_idempotent_count = 0;   // non-idempotent attempts in flight
    std::size_t slow_kind_count = 0;        // attempts of a slow kind in flight
    std::size_t answered = 0;
    Time last_progress{0};  // when it last connected, answered or became idle
  };

  bool is_overdue(const Connection& connection, Time now) const;
  bool accepts(const Connection& connection, Time now, const AttemptTraits& traits,
               std::size_t max_other_clients) const;
  std::optional<Choice> follow_group(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_same_client(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_idle(Time now, const AttemptTraits& traits) const;
  std::optional<ConnectionId> find_least_loaded(Time now, const AttemptTraits& traits,
                                                std::size_t max_other_clients) const;
  void remove_in_flight(Connection& connection, std::size_t position);
  void record_latency(std::uint8_t command_kind, Duration latency);
  void mark_idle(ConnectionId id, Time now);

  const ConnectionSelectorSettings settings_;
  std::vector<Connection> connections_;  // by ConnectionId
  std::vector<ConnectionId> free_ids_;
  std::vector<ConnectionId> idle_;
  std::size_t open_ = 0;
  // Moving averages over answers. The initial ratio keeps clients from sharing connections until
  // enough answers have been recorded.
  double slow_ratio_ = 0.01;
  Duration usual_latency_{0};
  std::array<double, kKinds> kind_slow_ratios_{};
  int slow_kinds_ = 0;  // number of kinds above kSlowKindRatio
};

}  // namespace balancer::connection_pool

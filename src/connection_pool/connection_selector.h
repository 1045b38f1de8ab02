#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "structures/time.h"

// Which connection to a host takes an attempt, and how many at once. No I/O, no clock, no threads.
namespace balancer::connection_pool {

using ConnectionId = std::uint32_t;  // a place in the caller's table; given out by on_open()

// What an attempt asks of its connection.
struct AttemptTraits {
  // Who asks; 0: nobody in particular. Answers go back to a client in the order of its requests, so
  // one that waits behind another of its own client loses nothing by it.
  std::uint64_t flow = 0;
  // Attempts with the same order (0: none) that are out together must reach the host in turn where
  // the later one is `ordered`.
  std::uint64_t order = 0;
  bool ordered = false;
  // Kinds of request whose time is learnt apart: a small number, of the caller's making.
  std::uint8_t kind = 0;
  bool unsafe = false;  // must never run twice
  // Its answer does not tell whose it is: a late second copy of the one before would pass for it.
  bool unnamed = false;
};

struct ConnectionSelectorSettings {
  // Attempts out on one connection. With `shared` false a second one is written behind another only
  // where no connection can be had.
  std::size_t max_depth = 1;
  bool shared = false;
  // Of them those that must never run twice: if the connection breaks, each one written may have
  // run, and none can be tried again.
  std::size_t max_unsafe = 64;
  // Connections that are opened before clients share any: what one that breaks takes with it.
  std::size_t spread = 4;
  // The share of attempts that may come to wait behind another client's slow one.
  double stall_share = 0.002;
  // No answer that took less is slow: above what a busy server's queue or a pause of this process
  // may come to.
  Duration slow_after{std::chrono::milliseconds(2)};
  Duration retire_idle{std::chrono::seconds(5)};  // no attempt goes to one that has rested longer
};

// The connections to one host and what is out on each.
//
// Sharing saves work, and costs where an answer is slow: all behind it wait. So the depth up to
// which clients share follows from what was measured: with a part p of the answers slow, an attempt
// with n of others' in front of it waits for one with a chance of about n p, which is held at
// `stall_share`. A slow answer is one that took far longer than is usual, counted from when its
// turn came. Kinds that are mostly slow are told apart and travel alone. A connection whose front
// attempt is overdue gets nothing more.
class ConnectionSelector {
 public:
  explicit ConnectionSelector(const ConnectionSelectorSettings& settings) : settings_(settings) {}

  struct Choice {
    enum class Kind { kUse, kOpen, kWait } kind = Kind::kWait;
    ConnectionId connection = 0;  // of kUse
  };
  // `may_open`: whether a further connection could be had. Where the connection that is named
  // proves to be closed already, on_closed() and another call.
  Choice choose(Time now, const AttemptTraits& want, bool may_open) const;

  // ---- what the caller has done and seen

  ConnectionId on_open(Time now);  // being dialled
  void on_up(ConnectionId id, Time now);
  void on_assigned(ConnectionId id, Time now, const AttemptTraits& want);
  // The front attempt has been answered. `keeps_open`: further answers may follow.
  void on_answered(ConnectionId id, Time now, bool keeps_open);
  // The attempt at this place was taken back before a byte of it was written.
  void on_taken_back(ConnectionId id, std::size_t place, Time now);
  void on_retired(ConnectionId id);  // takes nothing more, and ends once nothing is out
  void on_closed(ConnectionId id);

  // ---- what it knows

  std::size_t open() const { return open_; }
  // Idle connections, least recently used first.
  const std::vector<ConnectionId>& idle() const { return idle_; }
  Time idle_since(ConnectionId id) const { return all_[id].since; }
  std::size_t depth(ConnectionId id) const { return all_[id].out.size(); }
  // Whether it has rested for long enough that only a look at the socket tells if the host still
  // holds it.
  bool rested(ConnectionId id) const { return all_[id].out.empty(); }
  bool overdue(ConnectionId id, Time now) const;
  // How many attempts of clients one connection takes at once.
  std::size_t shared_depth() const;
  Duration slow_after() const;
  double slow_share() const { return slow_share_; }
  bool heavy(std::uint8_t kind) const { return kinds_[kind % kKinds] > kHeavyShare; }

 private:
  static constexpr std::size_t kKinds = 64;
  static constexpr double kHeavyShare = 0.2;

  struct Out {
    AttemptTraits want;
    Time at;
  };
  struct Connection {
    bool open = false, up = false, keeps_open = true;
    std::deque<Out> out;  // oldest first
    std::size_t unsafe = 0, heavy = 0;
    std::size_t answered = 0;
    Time since{0};  // it last went idle, answered or came up
  };

  bool fits(const Connection& c, Time now, const AttemptTraits& want, std::size_t others) const;
  std::optional<ConnectionId> pick_idle(Time now, const AttemptTraits& want) const;
  bool holds(const Connection& c, std::uint64_t order) const;
  void drop(Connection& c, std::size_t place);
  void rest(ConnectionId id, Time now);

  const ConnectionSelectorSettings settings_;
  std::vector<Connection> all_;
  std::vector<ConnectionId> free_;
  std::vector<ConnectionId> idle_;
  std::size_t open_ = 0;
  // Learnt from answers. Until some have come, sharing is taken for dear.
  double slow_share_ = 0.01;
  Duration usual_{0};
  double kinds_[kKinds] = {};
  int heavy_kinds_ = 0;  // of them
};

}  // namespace balancer::connection_pool

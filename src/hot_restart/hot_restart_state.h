#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "proto/hot_restart_wire.h"

// Which of two processes that run beside each other as one balancer may do what. No I/O; the time
// is passed in.
namespace balancer::hot_restart {

// The state of one process. It may replace a predecessor, and later be replaced by a successor, one
// at a time: while it still has a predecessor it accepts no successor.
//
//   its successor      accepts clients   its connections   may hold
//   does not exist     yes               stay              all, less what a predecessor holds
//   is starting        yes               stay              half, or what it has in use
//   serves             no                stay              the same
//   serves, and this   no                pass to the       what it has in use and needs for its
//   one has SIGTERM                      successor         requests in flight
//
// While there is a successor, what this process may hold never grows: the successor counts on it.
class HotRestartState {
 public:
  enum class Successor { kNone, kStarting, kServing };

  // `total`: the limits that both processes share.
  explicit HotRestartState(ResourceShare total) : total_(total) {}

  // ---- events of a predecessor

  // It answered, and holds at most `held`.
  void on_predecessor(ResourceShare held);
  // A process listens here and could not be queried: until then it is presumed to hold half.
  void on_predecessor_presumed(Time until);
  void on_predecessor_ended();

  // ---- events of a successor

  // A process asks to replace this one. Returns whether it may.
  bool on_successor(Time now);
  void on_successor_serving();
  void on_successor_lost();

  void on_term() { is_terminating_ = true; }

  // ---- what this process may do

  Successor successor() const { return successor_; }
  bool has_predecessor(Time now) const;
  bool accepts() const { return successor_ != Successor::kServing; }
  bool passes_connections() const { return is_terminating_ && successor_ == Successor::kServing; }
  // The most that this process may hold. `used`: what it holds; `needs`: what its requests in
  // flight may still need.
  ResourceShare share(Time now, ResourceShare used, ResourceShare needs);

 private:
  const ResourceShare total_;
  std::optional<ResourceShare> predecessor_;
  std::optional<Time> presumed_until_;
  Successor successor_ = Successor::kNone;
  std::optional<ResourceShare> ceiling_;  // set while there is a successor
  bool is_terminating_ = false;
};

}  // namespace balancer::hot_restart

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "proto/hot_restart_wire.h"

// Rights and resource limits of the two processes that run as one balancer during a hot restart. No
// I/O; the time is passed in.
namespace balancer::hot_restart {

// The state of one process. It may replace a predecessor, and later be replaced by a successor, but
// not both at once: while it has a predecessor it rejects successors.
//
//   successor          accepts clients   its connections   resource limits
//   none               yes               stay              all, less what a predecessor holds
//   starting           yes               stay              half, or what is in use if more
//   serving            no                stay              as while starting
//   ending             yes               stay              as while starting
//   serving, after     no                are passed to     what is in use, and what requests in
//   SIGTERM                              the successor     flight need, as far as it is below half
//
// While there is a successor, the limits of this process never grow, because the successor uses the
// rest.
class HotRestartState {
 public:
  enum class Successor { kNone, kStarting, kServing, kEnding };

  // `total`: the limits that both processes share.
  explicit HotRestartState(ResourceShare total) : total_(total) {}

  // ---- events of a predecessor

  // The predecessor has reported that it holds at most `held`.
  void on_predecessor(ResourceShare held);
  // A predecessor could not be queried. It is presumed to hold half of the limits until `until`.
  void on_predecessor_presumed(Time until);
  void on_predecessor_ended();

  // ---- events of a successor

  // A process requests to replace this one. Returns whether it may.
  bool on_successor(Time now);
  void on_successor_serving();
  // The successor has been terminated. Has no effect if this process is terminating too: its
  // clients' connections still go to the successor.
  void on_successor_ending();
  void on_successor_lost();

  void on_term() { is_terminating_ = true; }

  // ---- what this process may do

  Successor successor() const { return successor_; }
  bool has_predecessor(Time now) const;
  bool accepts() const { return successor_ != Successor::kServing; }
  bool passes_connections() const { return is_terminating_ && successor_ == Successor::kServing; }
  // Returns the limits of the resources that this process may hold. `used`: the resources in use;
  // `needs`: those that its requests in flight may still need.
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

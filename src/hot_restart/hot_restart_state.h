#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "proto/hot_restart_wire.h"

// Which of two processes that run beside each other as one balancer may do what. No I/O, no clock.
namespace balancer::hot_restart {

// One process's part. It may take the place of a predecessor, and later give its own to a
// successor, one at a time: it is asked to come back while it is still coming of age.
//
//   a successor...   this one accepts   its connections        may hold
//   is not there     yes                stay                   all, less what a predecessor holds
//   starts           yes                stay                   half, or what it has in use
//   serves           no                 stay                   the same
//   and it has SIGTERM                  pass over              what it has in use and needs to end
//                                                              its work
//
// While a successor is there, what this one may hold never grows: the other counts on it.
class HotRestartState {
 public:
  enum class Successor { kNone, kStarting, kServing };

  // `total`: what both together may hold.
  explicit HotRestartState(ResourceShare total) : total_(total) {}

  // ---- a predecessor

  // It answered, and holds so much at most.
  void on_predecessor(ResourceShare held);
  // Something listens here and could not be asked: it is presumed to hold its half until then.
  void on_predecessor_presumed(Time until);
  void on_predecessor_ended();

  // ---- a successor

  // One asks for this one's place. False: not now.
  bool on_successor(Time now);
  void on_successor_serving();
  void on_successor_lost();

  void on_term() { leaving_ = true; }

  // ---- what holds

  Successor successor() const { return successor_; }
  bool has_predecessor(Time now) const;
  bool accepts() const { return successor_ != Successor::kServing; }
  bool passes_connections() const { return leaving_ && successor_ == Successor::kServing; }
  // What this process may hold at most. `used`: what it does hold; `needs`: what it may come to
  // need for the requests it has taken.
  ResourceShare share(Time now, ResourceShare used, ResourceShare needs);

 private:
  const ResourceShare total_;
  std::optional<ResourceShare> predecessor_;
  std::optional<Time> presumed_until_;
  Successor successor_ = Successor::kNone;
  std::optional<ResourceShare> ceiling_;  // while a successor is there
  bool leaving_ = false;
};

}  // namespace balancer::hot_restart

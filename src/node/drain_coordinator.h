#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "net/clock.h"
#include "node/drain_times.h"
#include "node/group_coordinator.h"
#include "node/hot_restart_coordinator.h"
#include "node/services.h"

namespace balancer::node {

// Drains the process before its exit: answers the requests in flight, closes the clients'
// connections or passes them to a successor, and waits until the service addresses are released.
// Completes when nothing of that is left, or at DrainTimes::exit_at.
class DrainCoordinator {
 public:
  // `hot_restart`: null if hot restarts are disabled; `group`: null without a group. `on_drained`
  // is called once, from the event loop.
  DrainCoordinator(boost::asio::io_context& io, const Clock& clock, Services& services,
                   HotRestartCoordinator* hot_restart, GroupCoordinator* group,
                   std::function<void()> on_drained);

  void start(const DrainTimes& times);

 private:
  struct Progress {
    std::size_t sessions = 0;
    bool has_unaccepted = false;  // connections wait in the backlog
  };

  void arm_tick();
  void on_tick();
  Progress advance(Time now);
  void stop_accepting(Time now, Progress& progress);
  bool is_finished(Time now, const Progress& progress) const;
  // Returns whether a successor accepts the new clients and takes over the connections.
  bool has_serving_successor() const { return hot_restart_ && hot_restart_->passes_connections(); }

  boost::asio::io_context& io_;
  const Clock& clock_;
  Services& services_;
  HotRestartCoordinator* const hot_restart_;
  GroupCoordinator* const group_;
  const std::function<void()> on_drained_;
  boost::asio::steady_timer timer_;
  DrainTimes times_{};
};

}  // namespace balancer::node

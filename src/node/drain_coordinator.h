#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "net/clock.h"
#include "node/hot_restart_coordinator.h"
#include "node/services.h"

namespace balancer::node {

// Drains the process before its exit: answers the requests in flight and closes the clients'
// connections or passes them to a successor. Completes when no connection is left, or 0.55 s after
// the longest deadline.
class DrainCoordinator {
 public:
  // `hot_restart`: null if hot restarts are disabled. `on_drained` is called once, from the event
  // loop.
  DrainCoordinator(boost::asio::io_context& io, const Clock& clock, Services& services,
                   HotRestartCoordinator* hot_restart, std::function<void()> on_drained);

  void start();

 private:
  struct Progress {
    std::size_t sessions = 0;
    bool has_unaccepted = false;  // connections wait in the backlog
  };

  void arm_tick();
  void on_tick();
  Progress advance(Duration elapsed);
  bool is_finished(Duration elapsed, const Progress& progress) const;
  // Returns whether a successor accepts the new clients and takes over the connections.
  bool has_serving_successor() const { return hot_restart_ && hot_restart_->passes_connections(); }

  boost::asio::io_context& io_;
  const Clock& clock_;
  Services& services_;
  HotRestartCoordinator* const hot_restart_;
  const std::function<void()> on_drained_;
  boost::asio::steady_timer timer_;
  Duration longest_deadline_{0};
  Time started_at_{0};
};

}  // namespace balancer::node

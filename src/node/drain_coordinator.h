#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "net/clock.h"
#include "node/hot_restart_coordinator.h"
#include "node/services.h"

namespace balancer::node {

// The graceful end of the process: answers the requests in flight, closes or passes on the clients'
// connections, and reports when none is left, or 0.55 s after the longest deadline.
class DrainCoordinator {
 public:
  // `hot_restart`: null without one. `on_drained` is called once, from the event loop.
  DrainCoordinator(boost::asio::io_context& io, const Clock& clock, Services& services,
                   HotRestartCoordinator* hot_restart, std::function<void()> on_drained);

  void start();

 private:
  struct Progress {
    std::size_t sessions = 0;
    bool has_unaccepted = false;  // clients wait to be accepted
  };

  void arm_tick();
  void on_tick();
  Progress advance(Duration elapsed);
  bool is_finished(Duration elapsed, const Progress& progress) const;
  // Whether a successor takes the new clients and the connections.
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

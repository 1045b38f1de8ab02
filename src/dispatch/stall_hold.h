#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/attempt.h"
#include "net/clock.h"
#include "recovery/stall_guard.h"

namespace balancer {

// Holds a pool's attempts back after a stall of the process, until discovery has confirmed the
// endpoint list or StallGuard's bound has passed. Does nothing before enable().
class StallHold {
 public:
  // `on_release` gets the attempts that were held, from the event loop; each needs a new decision.
  // `io` and `clock` outlive the object.
  StallHold(boost::asio::io_context& io, const Clock& clock,
            std::function<void(const std::vector<AttemptPtr>&)> on_release);

  // `poll_discovery` asks for the endpoint list and returns before it has come; `log` gets one line
  // at the end of each hold.
  void enable(std::function<void()> poll_discovery, std::function<void(const std::string&)> log);

  // Detects a stall. To be called before decisions that rest on the endpoint list.
  void observe();
  // Discovery has answered a call that took so long, and its answer has been applied.
  void on_discovery_answer(Duration took);

  bool is_holding() const { return guard_ && guard_->is_holding(); }
  void hold(AttemptPtr attempt) { held_.push_back(std::move(attempt)); }
  // How long a request that is read now may have lain unread in its socket because of a stall.
  Duration max_unread_age() const;

 private:
  void observe_periodically();
  void start_hold();
  void release(const char* reason);

  const Clock& clock_;
  const std::function<void(const std::vector<AttemptPtr>&)> on_release_;
  std::function<void()> poll_discovery_;
  std::function<void(const std::string&)> log_;
  std::optional<recovery::StallGuard> guard_;  // none: nothing is held
  boost::asio::steady_timer observe_timer_;
  boost::asio::steady_timer hold_timer_;
  std::vector<AttemptPtr> held_;  // bounded by the requests that are open
};

}  // namespace balancer

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

// Holds a pool's attempts after a stall of the process until discovery has confirmed the endpoint
// list or the maximum hold time of StallGuard has passed. Inactive until enable() is called. Owned
// by the server pool.
class StallHold {
 public:
  // `on_release` is called from the event loop with the attempts that were held; the policy must
  // decide on each of them again. `io` and `clock` outlive the object.
  StallHold(boost::asio::io_context& io, const Clock& clock,
            std::function<void(const std::vector<AttemptPtr>&)> on_release);

  // Starts stall detection. `poll_discovery` requests the endpoint list without waiting for it;
  // `log` receives one line at the end of each hold.
  void enable(std::function<void()> poll_discovery, std::function<void(const std::string&)> log);

  // Detects a stall. Must be called before each decision that is based on the endpoint list.
  void observe();
  // Discovery has answered a call that took `call_duration`, and the answer has been applied.
  void on_discovery_answer(Duration call_duration);

  bool is_holding() const { return guard_ && guard_->is_holding(); }
  void hold(AttemptPtr attempt) { held_.push_back(std::move(attempt)); }
  // Returns how long a request that is read now may have waited in its socket because of a stall.
  Duration max_unread_age() const;

 private:
  void observe_periodically();
  void start_hold();
  void release(const char* reason);

  const Clock& clock_;
  const std::function<void(const std::vector<AttemptPtr>&)> on_release_;
  std::function<void()> poll_discovery_;
  std::function<void(const std::string&)> log_;
  std::optional<recovery::StallGuard> guard_;  // empty until enable()
  boost::asio::steady_timer observe_timer_;
  boost::asio::steady_timer hold_timer_;
  std::vector<AttemptPtr> held_;  // bounded by the number of open requests
};

}  // namespace balancer

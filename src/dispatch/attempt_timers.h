#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "dispatch/timing_wheel.h"
#include "net/attempt.h"
#include "net/clock.h"

namespace balancer {

// The time-outs of a pool's attempts and the timers of its policy: one timing wheel behind one
// timer of the event loop. Resolution 1 ms; nothing fires early.
class AttemptTimers {
 public:
  struct Handlers {
    std::function<void(const AttemptPtr&)> on_timeout;
    std::function<void(std::uint64_t tag)> on_policy_timer;
    std::function<void()> on_batch_end;  // after some of the above in one turn of the event loop
  };

  // Handlers are called from the event loop only. `io` and `clock` outlive the object.
  AttemptTimers(boost::asio::io_context& io, const Clock& clock, Handlers handlers);

  // Sets the attempt's time-out at its deadline.
  void set_timeout(const AttemptPtr& attempt);
  // Without effect on a time-out that has fired.
  void cancel_timeout(const Attempt& attempt);

  // A timer of the policy, whose tags ascend.
  void set_policy_timer(Time at, std::uint64_t tag);
  // Without effect on a timer that has fired.
  void cancel_policy_timer(std::uint64_t tag);

 private:
  // An attempt whose time-out is due, or the tag of a policy timer.
  struct DueTimer {
    AttemptPtr attempt;
    std::uint64_t tag = 0;
  };
  using Wheel = TimingWheel<DueTimer>;

  void arm();
  void on_wheel_due();
  void run_due();
  void forget_policy_timer(std::uint64_t tag);

  boost::asio::io_context& io_;
  const Clock& clock_;
  const Handlers handlers_;
  Wheel wheel_;
  std::deque<DueTimer> due_;
  bool run_posted_ = false;
  // By tag, from first_tag_ on.
  std::deque<std::optional<Wheel::Handle>> policy_timers_;
  std::uint64_t first_tag_ = 0;
  boost::asio::steady_timer loop_timer_;
  Time loop_timer_at_ = Time::max();
};

}  // namespace balancer

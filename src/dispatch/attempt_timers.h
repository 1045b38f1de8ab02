#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "dispatch/timing_wheel.h"
#include "net/attempt.h"
#include "net/clock.h"

namespace balancer {

// The time-outs of a pool's attempts and the timers of its policy, kept in one timing wheel that is
// driven by one timer of the event loop. The resolution is 1 ms; no timer fires early. Owned by the
// server pool.
class AttemptTimers {
 public:
  struct Handlers {
    std::function<void(const AttemptPtr&)> on_timeout;
    std::function<void(std::uint64_t tag)> on_policy_timer;
    std::function<void()> on_batch_end;  // after each batch of the above
  };

  // The handlers are called from the event loop only. `io` and `clock` outlive the object.
  AttemptTimers(boost::asio::io_context& io, const Clock& clock, Handlers handlers);

  // Schedules the attempt's time-out at its deadline.
  void set_timeout(const AttemptPtr& attempt);
  // Has no effect on a time-out that has fired.
  void cancel_timeout(const Attempt& attempt);

  // Schedules a timer of the policy. No other pending timer may have this tag.
  void set_policy_timer(Time at, std::uint64_t tag);
  // Has no effect on a timer that has fired.
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

  boost::asio::io_context& io_;
  const Clock& clock_;
  const Handlers handlers_;
  Wheel wheel_;
  std::deque<DueTimer> due_;
  bool is_run_posted_ = false;
  std::unordered_map<std::uint64_t, Wheel::Handle> policy_timers_;  // pending ones, by tag
  boost::asio::steady_timer loop_timer_;
  Time loop_timer_due_ = Time::max();
};

}  // namespace balancer

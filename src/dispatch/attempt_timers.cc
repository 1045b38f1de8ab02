#include "dispatch/attempt_timers.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(1);
// Bounds the timers handled in one turn of the event loop. Thousands of time-outs expire together
// when a host hangs, and other events must be handled in between.
constexpr std::size_t kMaxDuePerTurn = 64;

}  // namespace

AttemptTimers::AttemptTimers(boost::asio::io_context& io, const Clock& clock, Handlers handlers)
    : io_(io),
      clock_(clock),
      handlers_(std::move(handlers)),
      wheel_(clock.now(), kTick),
      loop_timer_(io) {}

void AttemptTimers::set_timeout(const AttemptPtr& attempt) {
  const auto handle = wheel_.set(attempt->deadline, {attempt, 0});
  attempt->timer = {handle.index, handle.generation};
  arm();
}

void AttemptTimers::cancel_timeout(const Attempt& attempt) {
  wheel_.cancel({attempt.timer.index, attempt.timer.generation});
}

void AttemptTimers::set_policy_timer(Time at, std::uint64_t tag) {
  policy_timers_.emplace(tag, wheel_.set(at, {nullptr, tag}));
  arm();
}

void AttemptTimers::cancel_policy_timer(std::uint64_t tag) {
  const auto pending = policy_timers_.extract(tag);
  if (pending) wheel_.cancel(pending.mapped());
}

// Only moves the event loop's timer to an earlier time; on_wheel_due() sets it again when it fires.
void AttemptTimers::arm() {
  const auto next = wheel_.next();
  if (!next || *next >= loop_timer_due_) return;
  loop_timer_due_ = *next;
  loop_timer_.expires_at(clock_.steady(loop_timer_due_));
  loop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) on_wheel_due();
  });
}

void AttemptTimers::on_wheel_due() {
  loop_timer_due_ = Time::max();
  wheel_.advance(clock_.now(), [this](DueTimer due) { due_.push_back(std::move(due)); });
  arm();
  run_due();
}

void AttemptTimers::run_due() {
  if (is_run_posted_) return;
  for (std::size_t n = 0; n < kMaxDuePerTurn && !due_.empty(); ++n) {
    const DueTimer due = std::move(due_.front());
    due_.pop_front();
    if (due.attempt) {
      handlers_.on_timeout(due.attempt);
    } else {
      policy_timers_.erase(due.tag);
      handlers_.on_policy_timer(due.tag);
    }
  }
  handlers_.on_batch_end();
  if (due_.empty()) return;
  is_run_posted_ = true;
  boost::asio::post(io_, [this] {
    is_run_posted_ = false;
    run_due();
  });
}

}  // namespace balancer

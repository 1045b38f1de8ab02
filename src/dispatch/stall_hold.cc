#include "dispatch/stall_hold.h"

#include <utility>

namespace balancer {
namespace {

using boost::system::error_code;

// Well below the gap between two observations that StallGuard treats as a stall (1 s by default).
constexpr Duration kObserveInterval = std::chrono::milliseconds(400);

std::string format_ms(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(ms.count()) + " ms";
}

}  // namespace

StallHold::StallHold(boost::asio::io_context& io, const Clock& clock,
                     std::function<void(const std::vector<AttemptPtr>&)> on_release)
    : clock_(clock), on_release_(std::move(on_release)), observe_timer_(io), hold_timer_(io) {}

void StallHold::enable(std::function<void()> poll_discovery,
                       std::function<void(const std::string&)> log) {
  guard_.emplace(clock_.now());
  poll_discovery_ = std::move(poll_discovery);
  log_ = std::move(log);
  observe_periodically();
}

void StallHold::observe_periodically() {
  observe();
  observe_timer_.expires_after(kObserveInterval);
  observe_timer_.async_wait([this](const error_code& error) {
    if (!error) observe_periodically();
  });
}

void StallHold::observe() {
  if (guard_ && guard_->observe(clock_.now())) start_hold();
}

void StallHold::start_hold() {
  poll_discovery_();
  hold_timer_.expires_at(clock_.steady(guard_->hold_until()));
  hold_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    observe();
    if (guard_->on_hold_expired(clock_.now()))
      release("no endpoint list in time, continuing with the last known one");
  });
}

void StallHold::on_discovery_answer(Duration call_duration) {
  observe();
  if (guard_ && guard_->on_discovery_answer(clock_.now() - call_duration))
    release("endpoint list confirmed");
}

void StallHold::release(const char* reason) {
  hold_timer_.cancel();
  const auto released = std::exchange(held_, {});
  log_("stall: process did not run for " + format_ms(guard_->last_stall()) + "; " + reason +
       " after " + format_ms(clock_.now() - guard_->resumed_at()) + ", " +
       std::to_string(released.size()) + " attempt(s) held");
  on_release_(released);
}

Duration StallHold::max_unread_age() const {
  return guard_ ? guard_->unnoticed_age(clock_.now()) : Duration{0};
}

}  // namespace balancer

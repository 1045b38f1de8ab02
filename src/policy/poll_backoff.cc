#include "policy/poll_backoff.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

using std::chrono::milliseconds;

constexpr Duration kBaseBackoff = milliseconds(250);
constexpr Duration kMaxBackoff = milliseconds(2000);  // changes have to be received within 6 s
constexpr int kMaxDoublings = 10;

}  // namespace

Duration PollBackoff::initial_delay(double jitter) const {
  return from_seconds(seconds(max_poll_interval_) / 10 * jitter);
}

Duration PollBackoff::after_rejection(double jitter) {
  const double max = seconds(std::clamp(max_poll_interval_ / 4, kBaseBackoff * 4, kMaxBackoff));
  const double backoff =
      seconds(kBaseBackoff) * std::pow(2.0, std::min(consecutive_rejections_++, kMaxDoublings));
  return from_seconds(std::min(backoff, max) * (0.5 + jitter / 2));
}

}  // namespace balancer

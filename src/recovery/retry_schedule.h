#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// When to retry a service that a whole fleet calls and that has failed for all at once. With plain
// random backoff, calls that failed in step return as a wave. Here retries form a stationary
// renewal process: the first wait after a failure is drawn from the residual life of the intervals,
// and the later ones are the intervals themselves. So N callers that fail in the same instant retry
// N / mean times a second from that instant on, evenly, however long the failure lasts. No I/O, no
// clock.
class RetrySchedule {
 public:
  // Intervals are uniform between the two.
  RetrySchedule(Duration min, Duration max) : min_(min), max_(max) {}

  // The wait before the next call after one that failed. Both draws are random, in [0, 1), and new
  // for each call.
  Duration after_failure(double draw, double second_draw);
  void on_success() { is_failing_ = false; }

  Duration mean() const { return (min_ + max_) / 2; }

 private:
  const Duration min_, max_;
  bool is_failing_ = false;
};

}  // namespace balancer::recovery

#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// Computes retry delays for a service that is called by a whole fleet and fails for all callers at
// once. With plain random backoff, calls that failed at the same time are retried in a wave. Here
// the retries of a caller form a stationary renewal process: the first delay after a failure is
// drawn from the residual lifetime distribution of the intervals, and later delays are the
// intervals themselves. N callers that fail at the same instant then retry N / mean times per
// second from that instant on, spread evenly, however long the failure lasts. Uses no I/O and no
// clock.
class RetrySchedule {
 public:
  // Intervals are uniformly distributed between `min` and `max`.
  RetrySchedule(Duration min, Duration max) : min_(min), max_(max) {}

  // Returns the delay before the next call after a failed one. Both draws must be new random
  // numbers in [0, 1) for each call.
  Duration after_failure(double draw, double second_draw);
  void on_success() { is_failing_ = false; }

  Duration mean() const { return (min_ + max_) / 2; }

 private:
  const Duration min_, max_;
  bool is_failing_ = false;
};

}  // namespace balancer::recovery

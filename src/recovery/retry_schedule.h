#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// When to call again a service that a whole fleet calls and that has failed all at once. Spread by
// chance alone calls that failed in step come back as a wave: the first waits are short, and all of
// them fall into one moment. Here the first wait is that which somebody meets who comes at any time
// into a row of calls that has gone on for ever (the residual life of its intervals), and the later
// ones are the intervals themselves. So N that fail in the same instant call N / mean times a
// second from that instant on, in every moment alike, however long it lasts. No I/O, no clock.
class RetrySchedule {
 public:
  // Intervals lie evenly between the two.
  RetrySchedule(Duration min, Duration max) : min_(min), max_(max) {}

  // The wait before the next call after one that failed. The chances lie in [0, 1), and are drawn
  // anew for each call.
  Duration after_failure(double chance, double second_chance);
  void on_success() { failing_ = false; }

  Duration mean() const { return (min_ + max_) / 2; }

 private:
  const Duration min_, max_;
  bool failing_ = false;
};

}  // namespace balancer::recovery

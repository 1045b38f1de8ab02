#pragma once

#include "structures/time.h"

namespace balancer {

// When the host list is polled where it has to be polled, and how polls back off while discovery
// rejects them. Polling again at once, and in step with others, would keep it overloaded.
class PollBackoff {
 public:
  explicit PollBackoff(Duration max_poll_interval) : max_poll_interval_(max_poll_interval) {}

  // Time until the first poll; spread, so that balancers that start together do not poll together.
  // `jitter`, here and below: random, in [0, 1).
  Duration initial_delay(double jitter) const;
  void on_list() { consecutive_rejections_ = 0; }
  // Time until the next poll after one that was rejected: exponential, 2 s at most.
  Duration after_rejection(double jitter);

 private:
  const Duration max_poll_interval_;
  int consecutive_rejections_ = 0;
};

}  // namespace balancer

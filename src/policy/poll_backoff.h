#pragma once

#include "structures/time.h"

namespace balancer {

// Computes the delays between polls of the host list: a random one before the first poll, and an
// exponential backoff while discovery rejects polls. Immediate or simultaneous polls of many
// balancers would keep discovery overloaded.
class PollBackoff {
 public:
  explicit PollBackoff(Duration max_poll_interval) : max_poll_interval_(max_poll_interval) {}

  // Returns the time until the first poll, spread so that balancers that start at the same time do
  // not poll at the same time. `jitter`, here and below: random, in [0, 1).
  Duration initial_delay(double jitter) const;
  void on_list() { consecutive_rejections_ = 0; }
  // Returns the time until the next poll after a rejected one: exponential backoff, at most 2 s.
  Duration after_rejection(double jitter);

 private:
  const Duration max_poll_interval_;
  int consecutive_rejections_ = 0;
};

}  // namespace balancer

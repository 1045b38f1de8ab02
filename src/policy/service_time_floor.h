#pragma once

#include "structures/time.h"

namespace balancer {

// Estimates how fast a group of servers answers at best, so that requests with less time left are
// not sent: they would cost the servers work and could not be answered.
class ServiceTimeFloor {
 public:
  // Records the duration of an attempt that was served.
  void on_served(Duration took);
  // Returns whether a request with this time left can hardly be answered. Some are let through, at
  // most ten a second, in case the servers have become faster.
  bool is_too_short(Time now, Duration time_left);

 private:
  double floor_ = 0;  // seconds; near the tenth percentile of the durations
  Time probed_at_{0};
};

}  // namespace balancer

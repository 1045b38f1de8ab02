#pragma once

#include <algorithm>
#include <chrono>
#include <limits>

namespace balancer {

// Token bucket whose rate and depth are passed with each call. It is full initially, whatever the
// depth.
class TokenBucket {
 public:
  using Time = std::chrono::nanoseconds;

  explicit TokenBucket(Time now) : at_(now) {}

  // Takes one token. Returns false if none is available. `rate`: tokens per second.
  bool take(Time now, double rate, double depth) {
    const double since = std::chrono::duration<double>(now - at_).count();
    tokens_ = std::min(tokens_ + rate * since, depth);
    at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = std::numeric_limits<double>::infinity();
  Time at_;
};

}  // namespace balancer

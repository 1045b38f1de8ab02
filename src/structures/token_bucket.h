#pragma once

#include <algorithm>
#include <chrono>
#include <limits>

namespace balancer {

// Tokens that come at a rate and are kept up to a depth, both given anew with each call. Full at
// first, whatever the depth.
class TokenBucket {
 public:
  using Time = std::chrono::nanoseconds;

  explicit TokenBucket(Time now) : at_(now) {}

  // One token; false if there is none. `rate`: tokens a second.
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

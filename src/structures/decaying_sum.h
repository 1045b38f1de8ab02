#pragma once

#include <chrono>
#include <cmath>

namespace balancer {

// A sum whose terms decay exponentially, by a factor of e per `memory_seconds`.
class DecayingSum {
 public:
  using Time = std::chrono::nanoseconds;

  DecayingSum(double memory_seconds, Time now) : memory_(memory_seconds), at_(now) {}

  void add(Time now, double value) {
    sum_ = at(now) + value;
    at_ = now;
  }
  double at(Time now) const {
    return sum_ * std::exp(-std::chrono::duration<double>(now - at_).count() / memory_);
  }
  // Returns the recent rate, per second.
  double rate(Time now) const { return at(now) / memory_; }

 private:
  const double memory_;
  double sum_ = 0;
  Time at_;
};

}  // namespace balancer

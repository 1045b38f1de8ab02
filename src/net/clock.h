#pragma once

#include <chrono>

#include "policy/policy.h"

namespace balancer {

// The monotonic clock, on which all decisions run. The wall clock may be set, forward and back; it
// is read only for the offset below.
class Clock {
 public:
  Time now() const { return std::chrono::steady_clock::now().time_since_epoch(); }
  std::chrono::steady_clock::time_point steady(Time t) const {
    return std::chrono::steady_clock::time_point(t);
  }
  // Wall clock less monotonic clock at the start of the process; it may be wrong.
  Duration wall_offset() const { return wall_offset_; }

 private:
  Duration wall_offset_ = std::chrono::system_clock::now().time_since_epoch() -
                          std::chrono::steady_clock::now().time_since_epoch();
};

}  // namespace balancer

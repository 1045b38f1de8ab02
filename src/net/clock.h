#pragma once

#include <chrono>

#include "policy/policy.h"

namespace balancer {

// The monotonic clock, on which all decisions are based. The wall clock can be adjusted forward and
// back; it is read only once, for wall_offset().
class Clock {
 public:
  Time now() const { return std::chrono::steady_clock::now().time_since_epoch(); }
  std::chrono::steady_clock::time_point steady(Time t) const {
    return std::chrono::steady_clock::time_point(t);
  }
  // Returns the wall clock minus the monotonic clock, taken at the start of the process. As wrong
  // as the wall clock was then.
  Duration wall_offset() const { return wall_offset_; }

 private:
  Duration wall_offset_ = std::chrono::system_clock::now().time_since_epoch() -
                          std::chrono::steady_clock::now().time_since_epoch();
};

}  // namespace balancer

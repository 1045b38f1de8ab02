#pragma once

#include <chrono>

// Time as all modules without I/O have it: given with each call, never read from a clock.
namespace balancer {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since an epoch of the caller's choosing
// What a wall clock shows, here or on another machine. Never compared with a Time.
using UnixTime = std::chrono::sys_time<std::chrono::nanoseconds>;

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace balancer

#pragma once

#include <chrono>

// Time types of the modules without I/O, which receive the time with each call and never read a
// clock.
namespace balancer {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since an epoch chosen by the caller
// Wall clock time, of this machine or another one. Must not be compared with a Time.
using UnixTime = std::chrono::sys_time<std::chrono::nanoseconds>;

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace balancer

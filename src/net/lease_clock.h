#pragma once

#include <time.h>

#include <chrono>

#include "structures/time.h"

namespace balancer {

// Returns the time on the clock used for leases, CLOCK_BOOTTIME, since the machine's boot. It is
// never adjusted, and unlike the steady clock it also advances while the machine is suspended,
// because the voters' clocks advance meanwhile.
inline Time lease_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

}  // namespace balancer

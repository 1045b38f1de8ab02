#pragma once

#include <time.h>

#include <chrono>

#include "structures/time.h"

namespace balancer {

// The clock of leases, CLOCK_BOOTTIME: never set, and unlike the steady clock it also counts while
// the machine is suspended, as the voters' clocks go on meanwhile. Counts from the machine's start.
inline Time lease_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

}  // namespace balancer

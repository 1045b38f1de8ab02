#pragma once

#include <time.h>

#include <chrono>

#include "structures/time.h"

namespace balancer {

// The clock of leases: never set, and it goes on while the machine sleeps, as the voters' clocks do
// meanwhile (CLOCK_BOOTTIME; the usual steady clock stands still then). Counts from the machine's
// start.
inline Time lease_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

}  // namespace balancer

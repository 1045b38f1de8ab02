#pragma once

#include <chrono>
#include <cstddef>

namespace balancer {

// Measures the resident memory of this process, which includes what the allocator keeps of freed
// memory. Not thread-safe.
class ResidentMemory {
 public:
  ResidentMemory();
  ~ResidentMemory();
  ResidentMemory(const ResidentMemory&) = delete;
  ResidentMemory& operator=(const ResidentMemory&) = delete;

  // Returns the resident memory in bytes, measured within the last two milliseconds, or the last
  // twenty while it is small; 0 if it cannot be measured.
  std::size_t bytes();
  // Returns freed memory to the system, at most once in a quarter of a second, and measures again.
  void release_free_memory();

 private:
  using SteadyClock = std::chrono::steady_clock;

  void measure(SteadyClock::time_point now);

  int statm_ = -1;  // descriptor of /proc/self/statm
  std::size_t bytes_ = 0;
  SteadyClock::time_point measured_at_{}, released_at_{};
};

}  // namespace balancer

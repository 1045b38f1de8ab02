#include "net/resident_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace balancer {
namespace {

// Reading from sockets at full speed takes about 4 MB in this time.
constexpr std::chrono::milliseconds kMeasureInterval{2};
// The same while less is resident than half of the least limit that settings accept: a measurement
// costs as much as a tenth of a request.
constexpr std::chrono::milliseconds kQuietMeasureInterval{20};
constexpr std::size_t kQuietBytes = 16u << 20;
constexpr std::chrono::milliseconds kReleaseInterval{250};

}  // namespace

ResidentMemory::ResidentMemory() : statm_(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC)) {}

ResidentMemory::~ResidentMemory() {
  if (statm_ >= 0) ::close(statm_);
}

std::size_t ResidentMemory::bytes() {
  const auto now = SteadyClock::now();
  const auto interval = bytes_ < kQuietBytes ? kQuietMeasureInterval : kMeasureInterval;
  if (now - measured_at_ >= interval) measure(now);
  return bytes_;
}

void ResidentMemory::release_free_memory() {
  const auto now = SteadyClock::now();
  if (now - released_at_ < kReleaseInterval) return;
  released_at_ = now;
  ::malloc_trim(0);
  measure(now);
}

void ResidentMemory::measure(SteadyClock::time_point now) {
  measured_at_ = now;
  std::array<char, 128> text{};
  if (statm_ < 0 || ::pread(statm_, text.data(), text.size() - 1, 0) <= 0) return;
  unsigned long total_pages = 0, resident_pages = 0;
  if (std::sscanf(text.data(), "%lu %lu", &total_pages, &resident_pages) == 2)
    bytes_ = resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace balancer

#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <utility>

namespace balancer {

// Counts how often each key was seen in the current period and the previous one. Two generations
// are used instead of a sliding window: a count covers between one and two periods and costs one
// increment. Keys that were not seen for two periods are removed.
class RecentCounts {
 public:
  using Time = std::chrono::nanoseconds;

  RecentCounts(Time period, Time now) : period_(period), since_(now) {}

  void add(std::uint64_t key, Time now) {
    if (now - since_ >= period_) {
      past_ = std::exchange(present_, {});
      since_ = now;
    }
    ++present_.by_key[key];
    ++present_.total;
  }
  std::uint64_t count(std::uint64_t key) const { return present_.count(key) + past_.count(key); }
  std::uint64_t total() const { return present_.total + past_.total; }

 private:
  struct Generation {
    std::unordered_map<std::uint64_t, std::uint32_t> by_key;
    std::uint64_t total = 0;
    std::uint64_t count(std::uint64_t key) const {
      const auto it = by_key.find(key);
      return it == by_key.end() ? 0 : it->second;
    }
  };

  const Time period_;
  Time since_;
  Generation present_, past_;
};

}  // namespace balancer

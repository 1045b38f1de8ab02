#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balancer {

// Counts how often each key was seen in the current period and the previous one. Two generations
// are used instead of a sliding window: a count covers between one and two periods and costs one
// increment. Keys that were not seen for two periods are removed.
//
// Bounded: a generation stores kMaxKeys keys. Beyond that the rarest are removed as in the summary
// of frequent items by Misra and Gries (1982), which lowers the counts of the others by less than
// 2 * total / kMaxKeys. Counts are exact as long as a period has no more keys.
class RecentCounts {
 public:
  using Time = std::chrono::nanoseconds;

  // About 0.7 MB for each of the two generations.
  static constexpr std::size_t kMaxKeys = 16'384;

  RecentCounts(Time period, Time now) : period_(period), since_(now) {}

  void add(std::uint64_t key, Time now) {
    if (now - since_ >= period_) {
      past_ = std::exchange(present_, {});
      since_ = now;
    }
    ++present_.by_key[key];
    ++present_.total;
    if (present_.by_key.size() > kMaxKeys) present_.remove_rarest();
  }
  std::uint64_t count(std::uint64_t key) const { return present_.count(key) + past_.count(key); }
  std::uint64_t total() const { return present_.total + past_.total; }
  // Returns the number of stored keys, at most 2 * kMaxKeys.
  std::size_t size() const { return present_.by_key.size() + past_.by_key.size(); }

 private:
  struct Generation {
    std::unordered_map<std::uint64_t, std::uint32_t> by_key;
    std::uint64_t total = 0;

    std::uint64_t count(std::uint64_t key) const {
      const auto it = by_key.find(key);
      return it == by_key.end() ? 0 : it->second;
    }
    // Subtracts the median count from all counts, and removes the keys that have none left. The
    // result does not depend on the order of the keys in the table.
    void remove_rarest() {
      std::vector<std::uint32_t> counts;
      counts.reserve(by_key.size());
      for (const auto& [key, count] : by_key) counts.push_back(count);
      const auto median = counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
      std::nth_element(counts.begin(), median, counts.end());
      const std::uint32_t removed = *median;
      std::erase_if(by_key, [removed](const auto& entry) { return entry.second <= removed; });
      for (auto& [key, count] : by_key) count -= removed;
    }
  };

  const Time period_;
  Time since_;
  Generation present_, past_;
};

}  // namespace balancer

#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

#include "testbed/model/base.h"

namespace balancer::testbed {

// A log-linear histogram of durations, like HdrHistogram. Buckets are at most 1/64 of their value
// wide, so every percentile is within 1.6% from a microsecond to an hour, in constant memory.
class Histogram {
 public:
  void add(Duration d) {
    const auto us = static_cast<std::uint64_t>(std::max<std::int64_t>(d.count() / 1000, 0));
    ++counts_[index(std::min<std::uint64_t>(us, kMax))];
    ++total_;
    max_ = std::max(max_, d);
  }
  std::uint64_t count() const { return total_; }
  Duration max() const { return max_; }
  // Returns the middle of the bucket that holds percentile `p` (0 to 1); 0 if empty.
  Duration percentile(double p) const {
    if (total_ == 0) return Duration{0};
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(p * static_cast<double>(total_))));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (seen >= rank) return std::min(max_, middle(i));
    }
    return max_;
  }

 private:
  static constexpr std::uint64_t kMax = 3'600'000'000;
  static constexpr int kBits = 6;
  static constexpr std::size_t kHalf = 1u << kBits;
  static std::size_t index(std::uint64_t v) {
    const int shift = std::max(0, static_cast<int>(std::bit_width(v)) - (kBits + 1));
    return static_cast<std::size_t>(shift) * kHalf + static_cast<std::size_t>(v >> shift);
  }
  static Duration middle(std::size_t i) {
    if (i < 2 * kHalf) return std::chrono::microseconds(i);
    const std::size_t shift = i / kHalf - 1;
    const std::uint64_t low = static_cast<std::uint64_t>(i - shift * kHalf) << shift;
    return std::chrono::microseconds(low + ((std::uint64_t{1} << shift) >> 1));
  }

  std::array<std::uint32_t, 28 * kHalf> counts_{};
  std::uint64_t total_ = 0;
  Duration max_{0};
};

}  // namespace balancer::testbed

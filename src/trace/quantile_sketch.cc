#include "trace/quantile_sketch.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace balancer::trace {
namespace {

constexpr double kMin = 1e-12, kMax = 1e18;

}  // namespace

QuantileSketch::QuantileSketch(double accuracy, std::size_t max_buckets) : accuracy_(accuracy) {
  if (!(accuracy >= 1e-4 && accuracy <= 0.5) || max_buckets < 16 || max_buckets > 65536)
    throw std::invalid_argument(
        "quantile sketch: accuracy must be from 0.0001 to 0.5 and max_buckets from 16 to 65536");
  log_gamma_ = std::log1p(2 * accuracy / (1 - accuracy));
  buckets_.resize(max_buckets);
}

void QuantileSketch::add(double value, std::uint64_t times) {
  if (times == 0) return;
  count_ += times;
  if (!(value >= kMin)) {
    zeros_ += times;
    return;
  }
  // Bucket i counts the values in (gamma^(i-1), gamma^i].
  add_to(static_cast<int>(std::ceil(std::log(std::min(value, kMax)) / log_gamma_)), times);
}

void QuantileSketch::add_to(int index, std::uint64_t times) {
  make_room(index);
  const int at = std::max(index, first_);
  lowest_ = std::min(lowest_, at);
  buckets_[static_cast<std::size_t>(at - first_)] += times;
}

void QuantileSketch::make_room(int index) {
  const int size = static_cast<int>(buckets_.size());
  if (highest_ < lowest_) {
    first_ = index - size / 2;
    lowest_ = highest_ = index;
    return;
  }
  const int high = std::max(highest_, index);
  // Lowest index of the window: low enough for `index`, but not so low that `high` is outside.
  const int low = std::max(std::min(lowest_, index), high - size + 1);
  int new_first = first_;
  if (low < first_) new_first = low;
  if (high >= first_ + size) new_first = high - size + 1;
  if (index < low) collapsed_ = true;
  if (new_first != first_) {
    std::vector<std::uint64_t> moved(buckets_.size());
    for (int i = lowest_; i <= highest_; ++i) {
      const int at = std::max(i, new_first);
      if (i < new_first && buckets_[static_cast<std::size_t>(i - first_)] > 0) collapsed_ = true;
      moved[static_cast<std::size_t>(at - new_first)] +=
          buckets_[static_cast<std::size_t>(i - first_)];
    }
    buckets_.swap(moved);
    first_ = new_first;
    lowest_ = std::max(lowest_, new_first);
  }
  highest_ = high;
}

bool QuantileSketch::merge(const QuantileSketch& other) {
  if (other.accuracy_ != accuracy_) return false;
  if (&other == this) return merge(QuantileSketch(other));
  // In descending order, so that only the lowest buckets of both sketches are collapsed.
  for (int i = other.highest_; i >= other.lowest_; --i)
    if (const auto n = other.buckets_[static_cast<std::size_t>(i - other.first_)]; n > 0)
      add_to(i, n);
  zeros_ += other.zeros_;
  count_ += other.count_;
  collapsed_ = collapsed_ || other.collapsed_;
  return true;
}

double QuantileSketch::quantile(double q) const {
  if (count_ == 0) return 0;
  const double rank = std::floor(std::clamp(q, 0.0, 1.0) * static_cast<double>(count_ - 1));
  auto left = static_cast<std::uint64_t>(rank);
  if (left < zeros_) return 0;
  left -= zeros_;
  for (int i = lowest_; i <= highest_; ++i) {
    const std::uint64_t n = buckets_[static_cast<std::size_t>(i - first_)];
    if (left < n) return 2 * std::exp(i * log_gamma_) / (std::exp(log_gamma_) + 1);
    left -= n;
  }
  return 2 * std::exp(highest_ * log_gamma_) / (std::exp(log_gamma_) + 1);
}

}  // namespace balancer::trace

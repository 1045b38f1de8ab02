#pragma once

namespace balancer {

// Exponential moving average of boolean samples: the share of recent samples that were true. Each
// new sample has weight 1/`samples`.
class RecentRatio {
 public:
  explicit RecentRatio(double samples) : samples_(samples) {}

  void add(bool sample) { value_ += (sample - value_) / samples_; }
  double value() const { return value_; }  // 0 to 1

 private:
  const double samples_;
  double value_ = 0;
};

}  // namespace balancer

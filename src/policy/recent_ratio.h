#pragma once

namespace balancer {

// The share of recent samples that were true, each sample weighing 1/`samples` of the whole.
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

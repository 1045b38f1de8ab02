#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace balancer::trace {

// Quantiles of a stream of non-negative values (times, sizes, in any unit) within a given relative
// error, in bounded memory. Sketches can be merged (DDSketch: Masson, Rim and Lee, VLDB 2019). No
// I/O, time or threads.
class QuantileSketch {
 public:
  // accuracy: the relative error, from 0.0001 to 0.5. max_buckets, from 16 to 65536: 2048 span 17
  // orders of magnitude at 1%. If the values span more, the lowest buckets are collapsed, and only
  // quantiles within them may exceed the error. Throws std::invalid_argument if out of bounds.
  explicit QuantileSketch(double accuracy = 0.01, std::size_t max_buckets = 2048);

  // Values below 1e-12 and NaN count as zero, values above 1e18 as 1e18.
  void add(double value, std::uint64_t times = 1);
  // Returns false and changes nothing if the other sketch has a different accuracy.
  bool merge(const QuantileSketch& other);
  std::uint64_t count() const { return count_; }
  // Returns an estimate of the value with rank q * (count - 1), rounded down, for q from 0 to 1; 0
  // if there are no values.
  double quantile(double q) const;
  // Returns whether some of the lowest buckets have been collapsed.
  bool collapsed() const { return collapsed_; }

 private:
  void add_to(int index, std::uint64_t times);
  // Moves the window of buckets so that it contains `index`, unless `index` is too low for the
  // window; it belongs to the lowest bucket then.
  void make_room(int index);

  double accuracy_, log_gamma_;
  std::vector<std::uint64_t> buckets_;
  int first_ = 0;                  // index of buckets_[0]
  int lowest_ = 0, highest_ = -1;  // of the buckets in use
  std::uint64_t zeros_ = 0, count_ = 0;
  bool collapsed_ = false;
};

}  // namespace balancer::trace

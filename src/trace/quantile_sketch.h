#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace balancer::trace {

// Quantiles of a stream of values that are not negative (times, sizes, in any unit) within a stated
// relative error, in bounded memory; several make one (DDSketch: Masson, Rim and Lee, VLDB 2019).
// No I/O, time or threads.
class QuantileSketch {
 public:
  // accuracy: the relative error, from 0.0001 to 0.5. max_buckets, from 16 to 65536: 2048 span 17
  // orders of magnitude at 1%. Where values lie further apart the lowest are drawn together, and
  // only quantiles among those lose the bound. Throws std::invalid_argument.
  explicit QuantileSketch(double accuracy = 0.01, std::size_t max_buckets = 2048);

  // Below 1e-12, and what is no number, counts as zero; above 1e18 as that.
  void add(double value, std::uint64_t times = 1);
  // False, and nothing has changed, where the other's accuracy is another.
  bool merge(const QuantileSketch& other);
  std::uint64_t count() const { return count_; }
  // q from 0 to 1, of the values so far by rank q * (count - 1), rounded down; 0 where there is
  // none.
  double quantile(double q) const;
  // Some of the lowest were drawn together.
  bool collapsed() const { return collapsed_; }

 private:
  void add_to(int index, std::uint64_t times);
  // Makes room so that `index` has a bucket, or is the lowest's.
  void reach(int index);

  double accuracy_, log_gamma_;
  std::vector<std::uint64_t> buckets_;
  int first_ = 0;                  // index of buckets_[0]
  int lowest_ = 0, highest_ = -1;  // of those in use
  std::uint64_t zeros_ = 0, count_ = 0;
  bool collapsed_ = false;
};

}  // namespace balancer::trace

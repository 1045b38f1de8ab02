#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>
#include <vector>

#include "structures/time.h"

namespace balancer {

// Remembers hashes of ids for at least one period and at most two, in two generations. The owner
// bounds their number by has_room().
class RecentIds {
 public:
  RecentIds(std::size_t max, Duration period) : max_(max), period_(period) {}

  // Forgets ids whose time is over. `now` never decreases.
  void expire(Time now) {
    if (now - since_ < period_) return;
    past_ = std::exchange(present_, {});
    if (now - since_ >= 2 * period_) past_.clear();
    since_ = now;
    ++generation_;
  }
  bool contains(std::uint64_t id) const { return present_.contains(id) || past_.contains(id); }
  void insert(std::uint64_t id) { present_.insert(id); }
  void erase(std::uint64_t id) {
    present_.erase(id);
    past_.erase(id);
  }
  bool has_room() const { return size() < max_; }
  std::size_t size() const { return present_.size() + past_.size(); }
  std::size_t max() const { return max_; }
  // Returns a number that increases with each period.
  std::uint64_t generation() const { return generation_; }
  std::vector<std::uint64_t> all() const {
    std::vector<std::uint64_t> ids(past_.begin(), past_.end());
    ids.insert(ids.end(), present_.begin(), present_.end());
    return ids;
  }

 private:
  const std::size_t max_;
  const Duration period_;
  Time since_{0};
  std::uint64_t generation_ = 0;
  std::unordered_set<std::uint64_t> present_, past_;
};

}  // namespace balancer

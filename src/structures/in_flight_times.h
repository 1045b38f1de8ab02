#pragma once

#include <algorithm>
#include <vector>

#include "structures/time.h"

namespace balancer {

// Send times of the attempts or fetches in flight, oldest first.
class InFlightTimes {
 public:
  void add(Time sent) { times_.push_back(sent); }
  void remove(Time sent) {
    const auto it = std::find(times_.begin(), times_.end(), sent);
    if (it != times_.end()) times_.erase(it);
  }
  bool empty() const { return times_.empty(); }
  std::size_t size() const { return times_.size(); }
  // Returns whether the oldest one has been in flight for longer than `age`.
  bool oldest_exceeds(Time now, Duration age) const {
    return !times_.empty() && now - times_.front() > age;
  }
  auto begin() const { return times_.begin(); }
  auto end() const { return times_.end(); }

 private:
  std::vector<Time> times_;
};

}  // namespace balancer

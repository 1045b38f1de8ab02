#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/placement.h"
#include "structures/stable_hash.h"

namespace balancer {

// A consistent hash ring with virtual nodes. The points follow from host ids and static weights
// alone: balancers that know the same hosts build the same ring, and a host that comes or goes
// moves only the keys it gains or leaves.
class HashRing : public Placement {
 public:
  void insert(const std::vector<Member>& members) override;
  void erase(const std::set<Host>& hosts) override;
  std::uint64_t point(std::string_view key) const override { return stable_hash(key); }
  // In ring order from the point, whoever asks.
  bool walk(std::uint64_t point, std::uint64_t request, Accept accept) const override;

 private:
  struct Point {
    std::uint64_t at;
    Host host;
    auto operator<=>(const Point&) const = default;
  };

  std::vector<Point> points_;  // sorted
  std::size_t hosts_ = 0;
};

}  // namespace balancer

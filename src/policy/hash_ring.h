#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace silverpin {

// The same on every machine and in every run, so that all balancers agree on every point.
std::uint64_t stable_hash(std::string_view text);
// Odd weights must neither drop a host from the ring nor let it flood the ring.
double bounded_weight(double weight);
std::uint64_t mix(std::uint64_t a, std::uint64_t b);

// A consistent hash ring with virtual nodes. The points follow from host ids and static weights
// alone: balancers that know the same hosts build the same ring, and a host that comes or goes
// moves only the keys it gains or leaves.
class HashRing {
 public:
  using Host = std::uint32_t;

  struct Member {
    Host host;
    std::string_view id;
    double weight;
  };

  void insert(const std::vector<Member>& members);
  void erase(Host host);
  bool empty() const { return points_.empty(); }

  // Offers each distinct host once, in ring order from the key's point, until `accept` takes one.
  template <typename Accept>
  bool walk(std::uint64_t key, Accept&& accept) const {
    std::vector<Host> offered;
    const auto start = std::lower_bound(points_.begin(), points_.end(), Point{key, 0});
    for (std::size_t i = 0; i < points_.size() && offered.size() < hosts_; ++i) {
      const std::size_t at = static_cast<std::size_t>(start - points_.begin()) + i;
      const Host host = points_[at % points_.size()].host;
      if (std::find(offered.begin(), offered.end(), host) != offered.end()) continue;
      if (accept(host)) return true;
      offered.push_back(host);
    }
    return false;
  }

 private:
  struct Point {
    std::uint64_t at;
    Host host;
    auto operator<=>(const Point&) const = default;
  };

  std::vector<Point> points_;  // sorted
  std::size_t hosts_ = 0;
};

}  // namespace silverpin

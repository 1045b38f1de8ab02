#include "policy/hash_ring.h"

#include <cmath>

#include "hosts/host_registry.h"

namespace balancer {
namespace {

// Shares vary by about 1/sqrt(nodes) around the mean: a tenth at 100.
constexpr double kVirtualNodes = 100;

}  // namespace

void HashRing::insert(const std::vector<Member>& members) {
  const auto old_size = static_cast<std::ptrdiff_t>(points_.size());
  for (const Member& m : members) {
    const auto nodes =
        static_cast<std::uint64_t>(std::lround(kVirtualNodes * bounded_weight(m.weight)));
    const std::uint64_t base = stable_hash(m.id);
    for (std::uint64_t i = 0; i < nodes; ++i) points_.push_back({mix(base, i), m.host});
  }
  std::sort(points_.begin() + old_size, points_.end());
  std::inplace_merge(points_.begin(), points_.begin() + old_size, points_.end());
  hosts_ += members.size();
}

bool HashRing::walk(std::uint64_t point, std::uint64_t, Accept accept) const {
  std::vector<Host> offered;
  const auto start = std::lower_bound(points_.begin(), points_.end(), Point{point, 0});
  for (std::size_t i = 0; i < points_.size() && offered.size() < hosts_; ++i) {
    const std::size_t at = static_cast<std::size_t>(start - points_.begin()) + i;
    const Host host = points_[at % points_.size()].host;
    if (std::find(offered.begin(), offered.end(), host) != offered.end()) continue;
    if (accept(host)) return true;
    offered.push_back(host);
  }
  return false;
}

void HashRing::erase(const std::set<Host>& hosts) {
  std::erase_if(points_, [&hosts](const Point& p) { return hosts.contains(p.host); });
  hosts_ -= hosts.size();
}

}  // namespace balancer

#include "policy/hash_ring.h"

#include <cmath>

#include "hosts/host_registry.h"

namespace balancer {
namespace {

// Virtual nodes of a host of weight 1. The hosts' shares of the keys vary by about 1/sqrt(nodes)
// around the mean.
constexpr double kVirtualNodes = 100;

}  // namespace

void HashRing::insert(const std::vector<PlacedHost>& members) {
  const auto old_size = static_cast<std::ptrdiff_t>(nodes_.size());
  for (const PlacedHost& m : members) {
    const auto count =
        static_cast<std::uint64_t>(std::lround(kVirtualNodes * bounded_weight(m.weight)));
    const std::uint64_t base = stable_hash(m.id);
    for (std::uint64_t i = 0; i < count; ++i) nodes_.push_back({mix(base, i), m.host});
  }
  std::sort(nodes_.begin() + old_size, nodes_.end());
  std::inplace_merge(nodes_.begin(), nodes_.begin() + old_size, nodes_.end());
  hosts_ += members.size();
}

bool HashRing::visit_candidates(std::uint64_t point, std::uint64_t, CandidateVisitor accept) const {
  std::vector<Host> offered;
  const auto start = std::lower_bound(nodes_.begin(), nodes_.end(), VirtualNode{point, 0});
  for (std::size_t i = 0; i < nodes_.size() && offered.size() < hosts_; ++i) {
    const std::size_t at = static_cast<std::size_t>(start - nodes_.begin()) + i;
    const Host host = nodes_[at % nodes_.size()].host;
    if (std::find(offered.begin(), offered.end(), host) != offered.end()) continue;
    if (accept(host)) return true;
    offered.push_back(host);
  }
  return false;
}

void HashRing::erase(const std::set<Host>& hosts) {
  std::erase_if(nodes_, [&hosts](const VirtualNode& p) { return hosts.contains(p.host); });
  hosts_ -= hosts.size();
}

}  // namespace balancer

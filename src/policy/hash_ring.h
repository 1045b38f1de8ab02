#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/placement.h"
#include "structures/stable_hash.h"

namespace balancer {

// A consistent hash ring with virtual nodes. The nodes are computed from host ids and static
// weights alone: balancers that know the same hosts build the same ring, and only the keys of a
// host that joins or leaves move.
class HashRing : public Placement {
 public:
  void insert(const std::vector<PlacedHost>& members) override;
  void erase(const std::set<Host>& hosts) override;
  std::uint64_t point(std::string_view key) const override { return stable_hash(key); }
  // Offers the hosts in ring order starting at the point; the order is the same for every request.
  bool visit_candidates(std::uint64_t point, std::uint64_t request,
                        CandidateVisitor accept) const override;

 private:
  struct VirtualNode {
    std::uint64_t position;
    Host host;
    auto operator<=>(const VirtualNode&) const = default;
  };

  std::vector<VirtualNode> nodes_;  // sorted by position
  std::size_t hosts_ = 0;
};

}  // namespace balancer

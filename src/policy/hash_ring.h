#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/placement.h"
#include "structures/stable_hash.h"

namespace balancer {

// A consistent hash ring with virtual nodes. The nodes follow from host ids and static weights
// alone: balancers that know the same hosts build the same ring, and a host that joins or leaves
// moves only its own keys.
class HashRing : public Placement {
 public:
  void insert(const std::vector<PlacedHost>& members) override;
  void erase(const std::set<Host>& hosts) override;
  std::uint64_t point(std::string_view key) const override { return stable_hash(key); }
  // In ring order from the point, the same for every request.
  bool walk(std::uint64_t point, std::uint64_t request, Accept accept) const override;

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

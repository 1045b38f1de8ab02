#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/view.h"

namespace balancer::cluster {

// A node's place in the table; used again once the node is gone.
using NodeIndex = std::uint16_t;

// Who owns which slot, as far as is known. Merges the claims of nodes that disagree: per slot the
// newest configuration epoch wins, and an older one never overwrites it, unless its claimant has
// heard of an epoch as new and does not know the owner any more. Where no epochs are told (0), the
// last view wins.
class SlotTable {
 public:
  // `max_nodes`: what is beyond is left out.
  explicit SlotTable(std::size_t max_nodes) : max_nodes_(max_nodes) {}

  struct Node {
    std::string address;  // empty: the place is free
    std::vector<NodeIndex> replicas;
    std::uint64_t epoch = 0;  // of what is known of it as a primary
    std::uint32_t owned = 0;  // slots
    bool listed = false;      // in the last view
  };

  // True if a slot changed its owner or a node came or went.
  bool merge(const View& view);
  // The owner of the slot, asked, has named another. False if it was not its owner, or is the one
  // that is named: then nothing is learnt from it.
  bool moved(Slot slot, NodeIndex from, NodeIndex to);
  // A node that no view has named yet; nothing if there is no room.
  std::optional<NodeIndex> add(std::string_view address);
  std::optional<NodeIndex> find(std::string_view address) const;

  std::optional<NodeIndex> owner(Slot slot) const;
  const std::vector<Node>& nodes() const { return nodes_; }
  std::size_t assigned() const { return assigned_; }
  std::uint64_t epoch() const { return epoch_; }

 private:
  static constexpr NodeIndex kNone = 0xffff;
  struct Entry {
    std::uint64_t epoch = 0;
    NodeIndex owner = kNone;
  };

  bool assign(Slot slot, NodeIndex owner, std::uint64_t epoch);
  bool drop_unlisted(const View& view);

  const std::size_t max_nodes_;
  std::array<Entry, kSlots> slots_;
  std::vector<Node> nodes_;
  std::map<std::string, NodeIndex, std::less<>> by_address_;
  std::size_t assigned_ = 0;
  std::uint64_t epoch_ = 0;  // the newest of any claim taken
};

}  // namespace balancer::cluster

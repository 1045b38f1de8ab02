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

// Index of a node in the table; reused after the node is removed.
using NodeIndex = std::uint16_t;

// The known owner of each slot. Merges the claims of nodes that disagree: per slot the claim with
// the newest configuration epoch wins. A claim with an older epoch replaces it only if the claiming
// view has seen an epoch at least as new and no longer lists the owner. Between claims without
// epochs (0) the last view wins.
class SlotTable {
 public:
  // Nodes beyond `max_nodes` are ignored.
  explicit SlotTable(std::size_t max_nodes) : max_nodes_(max_nodes) {}

  struct Node {
    std::string address;  // empty: the entry is unused
    std::string id;       // of the node's process; empty: unknown
    // Number of earlier processes at the address: those with other ids, and the one whose id was
    // not known, as it may have been another.
    std::uint64_t process = 0;
    std::vector<NodeIndex> replicas;
    std::uint64_t epoch = 0;  // newest configuration epoch reported for it as a primary
    std::uint32_t owned = 0;  // number of slots that it owns
    bool listed = false;      // by the view that was merged last
    bool unverified = false;  // named by a seed or a redirection, and by no view with its id yet
  };

  // Returns whether the view can be one of the cluster that this table describes: it names the id
  // of a known node, or no id is known yet. The address of a node that has gone may belong to a
  // node of another cluster now, whose epochs mean nothing here.
  bool is_of_this_cluster(const View& view) const;
  // Merges a view of this cluster. Returns true if a slot changed its owner or a node was added or
  // removed.
  bool merge(const View& view);
  // Reassigns a slot after `from` answered MOVED and named `to`. Returns false and changes nothing
  // if `from` does not own the slot or named itself.
  bool on_moved(Slot slot, NodeIndex from, NodeIndex to);
  // Adds a node that no view has named yet. Returns its index, or that of the known node; nullopt
  // if the address is empty or the table is full.
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

  std::optional<NodeIndex> insert(std::string_view address);
  bool assign(Slot slot, NodeIndex owner, std::uint64_t epoch);
  bool drop_unlisted(const View& view);
  bool update_ids(const View& view);

  const std::size_t max_nodes_;
  std::array<Entry, kSlots> slots_;
  std::vector<Node> nodes_;
  std::map<std::string, NodeIndex, std::less<>> by_address_;
  std::size_t assigned_ = 0;
  std::uint64_t epoch_ = 0;  // newest configuration epoch of all merged claims
};

}  // namespace balancer::cluster

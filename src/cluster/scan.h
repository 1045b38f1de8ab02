#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>

#include "cluster/slot_table.h"

namespace balancer::cluster {

// Plans a SCAN over all keys of a cluster, node by node, while slots move. Performs no I/O.
//
// A slot is covered once a node that owned it from the first to the last page of the node's scan,
// according to the table, has been scanned to the end. The owner of a slot that is not covered is
// scanned, again if necessary. Keys may therefore be returned more than once, as with SCAN itself,
// but no key is missed that stayed on its node or whose slot's move is known to the table. Slots
// without an owner hold no keys.
class ScanPlan {
 public:
  struct Step {
    std::string node;          // receives the next SCAN
    std::uint64_t cursor = 0;  // of that SCAN
  };
  // Returns the next page to request; nullopt once all slots are covered, or if aborted().
  std::optional<Step> next(const SlotTable& table);
  // Records the reply to the page that next() returned, with the node's own cursor; 0 ends the
  // scan of the node.
  void on_page(const SlotTable& table, std::uint64_t cursor);
  // Whether the scan ended early because slots moved faster than nodes could be scanned.
  bool aborted() const { return node_scans_ > kMaxNodeScans; }

 private:
  // Far more node scans than a cluster of a few hundred nodes needs while a few slots move.
  static constexpr int kMaxNodeScans = 4096;

  // Removes from `owned_slots_` the slots that the node no longer owns.
  void retain_owned(const SlotTable& table);

  std::bitset<kSlots> covered_;
  std::string node_;                 // being scanned; empty: none
  std::bitset<kSlots> owned_slots_;  // slots that the node has owned since its scan began
  std::uint64_t cursor_ = 0;
  int node_scans_ = 0;
};

}  // namespace balancer::cluster

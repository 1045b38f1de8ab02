#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>

#include "cluster/slot_table.h"

namespace balancer::cluster {

// A walk over all keys of a cluster by SCAN, node by node, while slots move. No I/O.
//
// A slot is covered once a node that owned it from the first page of its own walk to the last has
// been walked to the end, as far as the table tells. Whatever is not covered makes its owner be
// walked, again if need be: keys come more than once, as with SCAN itself, but those that stayed
// where they are, and those of slots whose move the table has told of, are not left out. Slots that
// nobody owns hold no keys.
class ScanPlan {
 public:
  struct Step {
    std::string node;          // to be asked
    std::uint64_t cursor = 0;  // with this cursor
  };
  // The next page; nothing once all is covered, or where given_up().
  std::optional<Step> next(const SlotTable& table);
  // The page that next() named has come, and the node's own cursor with it; 0: the node's end.
  void on_page(const SlotTable& table, std::uint64_t cursor);
  // Slots have moved faster than nodes could be walked.
  bool given_up() const { return walks_ > kMaxWalks; }

 private:
  // Far above what a cluster of some hundred nodes needs while a few slots move.
  static constexpr int kMaxWalks = 4096;

  // Of the slots in `mine_`, those that the node still owns.
  void keep_owned(const SlotTable& table);

  std::bitset<kSlots> covered_;
  std::string node_;          // being walked; empty: none
  std::bitset<kSlots> mine_;  // its own since its walk began
  std::uint64_t cursor_ = 0;
  int walks_ = 0;
};

}  // namespace balancer::cluster

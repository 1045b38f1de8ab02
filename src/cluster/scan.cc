#include "cluster/scan.h"

namespace balancer::cluster {

void ScanPlan::retain_owned(const SlotTable& table) {
  const auto node = table.find(node_);
  for (std::uint32_t s = 0; s < kSlots; ++s)
    if (owned_slots_[s] && (!node || table.owner(static_cast<Slot>(s)) != node))
      owned_slots_.reset(s);
}

std::optional<ScanPlan::Step> ScanPlan::next(const SlotTable& table) {
  // The scan of a node that left the cluster cannot complete; its slots have other owners now.
  if (!node_.empty() && !table.find(node_)) node_.clear();
  if (node_.empty()) {
    std::optional<NodeIndex> node;
    for (std::uint32_t s = 0; s < kSlots && !node; ++s)
      if (!covered_[s]) node = table.owner(static_cast<Slot>(s));
    if (!node || ++node_scans_ > kMaxNodeScans) return std::nullopt;
    node_ = table.nodes()[*node].address;
    cursor_ = 0;
    owned_slots_.set();
    retain_owned(table);
  }
  return Step{node_, cursor_};
}

void ScanPlan::on_page(const SlotTable& table, std::uint64_t cursor) {
  if (node_.empty()) return;
  retain_owned(table);
  cursor_ = cursor;
  if (cursor != 0) return;
  covered_ |= owned_slots_;
  node_.clear();
}

}  // namespace balancer::cluster

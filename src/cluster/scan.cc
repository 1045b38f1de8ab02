#include "cluster/scan.h"

namespace balancer::cluster {

void ScanPlan::keep_owned(const SlotTable& table) {
  const auto node = table.find(node_);
  for (std::uint32_t s = 0; s < kSlots; ++s)
    if (mine_[s] && (!node || table.owner(static_cast<Slot>(s)) != node)) mine_.reset(s);
}

std::optional<ScanPlan::Step> ScanPlan::next(const SlotTable& table) {
  // One that has left the cluster can't be walked to its end; its slots are others' by now.
  if (!node_.empty() && !table.find(node_)) node_.clear();
  if (node_.empty()) {
    std::optional<NodeIndex> node;
    for (std::uint32_t s = 0; s < kSlots && !node; ++s)
      if (!covered_[s]) node = table.owner(static_cast<Slot>(s));
    if (!node || ++walks_ > kMaxWalks) return std::nullopt;
    node_ = table.nodes()[*node].address;
    cursor_ = 0;
    mine_.set();
    keep_owned(table);
  }
  return Step{node_, cursor_};
}

void ScanPlan::on_page(const SlotTable& table, std::uint64_t cursor) {
  if (node_.empty()) return;
  keep_owned(table);
  cursor_ = cursor;
  if (cursor != 0) return;
  covered_ |= mine_;
  node_.clear();
}

}  // namespace balancer::cluster

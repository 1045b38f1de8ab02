#include "cluster/slot_table.h"

#include <algorithm>
#include <set>

namespace balancer::cluster {

std::optional<NodeIndex> SlotTable::find(std::string_view address) const {
  const auto it = by_address_.find(address);
  if (it == by_address_.end()) return std::nullopt;
  return it->second;
}

std::optional<NodeIndex> SlotTable::add(std::string_view address) {
  if (const auto known = find(address)) return known;
  const auto added = insert(address);
  if (added) nodes_[*added].unverified = true;
  return added;
}

std::optional<NodeIndex> SlotTable::insert(std::string_view address) {
  if (const auto known = find(address)) return known;
  if (address.empty() || by_address_.size() >= max_nodes_) return std::nullopt;
  const auto free =
      std::find_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.address.empty(); });
  const auto index = static_cast<NodeIndex>(free - nodes_.begin());
  if (free == nodes_.end()) nodes_.emplace_back();
  nodes_[index] = Node{};
  nodes_[index].address = address;
  by_address_.emplace(address, index);
  return index;
}

std::optional<NodeIndex> SlotTable::owner(Slot slot) const {
  const NodeIndex owner = slots_[slot].owner;
  if (owner == kNone) return std::nullopt;
  return owner;
}

bool SlotTable::assign(Slot slot, NodeIndex owner, std::uint64_t epoch) {
  Entry& e = slots_[slot];
  const bool changed = e.owner != owner;
  if (changed) {
    if (e.owner != kNone) {
      --nodes_[e.owner].owned;
    } else {
      ++assigned_;
    }
    ++nodes_[owner].owned;
  }
  e = {epoch, owner};
  return changed;
}

bool SlotTable::is_of_this_cluster(const View& view) const {
  std::set<std::string_view> named;
  for (const auto& [address, id] : view.ids) named.insert(id);
  bool is_any_known = false;
  for (const Node& node : nodes_) {
    if (node.id.empty()) continue;
    if (named.contains(node.id)) return true;
    is_any_known = true;
  }
  return !is_any_known;
}

bool SlotTable::merge(const View& view) {
  bool changed = false;
  for (Node& n : nodes_) n.listed = false;
  std::vector<NodeIndex> primaries(view.shards.size(), kNone);
  // Adds all nodes first: the slot loop below checks whether this view lists a slot's owner.
  for (std::size_t i = 0; i < view.shards.size(); ++i) {
    const Shard& shard = view.shards[i];
    const std::size_t before = by_address_.size();
    const auto primary = insert(shard.primary);
    if (primary) {
      primaries[i] = *primary;
      nodes_[*primary].listed = true;
    }
    std::vector<NodeIndex> replicas;
    for (const auto& address : shard.replicas) {
      const auto replica = insert(address);
      if (!replica || replica == primary) continue;
      nodes_[*replica].listed = true;
      replicas.push_back(*replica);
    }
    if (primary && shard.epoch >= nodes_[*primary].epoch) {
      nodes_[*primary].epoch = shard.epoch;
      nodes_[*primary].replicas = std::move(replicas);
    }
    changed = changed || by_address_.size() != before;
  }
  if (update_ids(view)) changed = true;
  for (std::size_t i = 0; i < view.shards.size(); ++i) {
    if (primaries[i] == kNone) continue;
    const Shard& shard = view.shards[i];
    for (const Range& range : shard.slots) {
      for (std::uint32_t s = range.first; s <= range.last; ++s) {
        const Entry& e = slots_[s];
        const bool newer = e.owner == kNone || shard.epoch > e.epoch ||
                           (shard.epoch == e.epoch && (e.owner == primaries[i] || e.epoch == 0)) ||
                           (view.epoch >= e.epoch && !nodes_[e.owner].listed);
        if (newer && assign(static_cast<Slot>(s), primaries[i], shard.epoch)) changed = true;
      }
    }
    epoch_ = std::max(epoch_, shard.epoch);
  }
  return drop_unlisted(view) || changed;
}

// Returns whether a process at a known address was replaced, or may have been: connections that
// were opened before the id was known have not asked for it.
bool SlotTable::update_ids(const View& view) {
  bool has_replaced = false;
  for (const auto& [address, id] : view.ids) {
    const auto index = find(address);
    if (!index) continue;
    Node& node = nodes_[*index];
    const bool is_replaced = node.id.empty() ? node.unverified : node.id != id;
    node.unverified = false;
    if (is_replaced) {
      ++node.process;
      has_replaced = true;
    }
    node.id = id;
  }
  return has_replaced;
}

// Removes the nodes that own no slots and that the view does not list. Only a view whose epoch is
// at least as new as that of every merged claim shows that they have left the cluster.
bool SlotTable::drop_unlisted(const View& view) {
  if (view.epoch < epoch_ || view.shards.empty()) return false;
  bool dropped = false;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    if (n.address.empty() || n.listed || n.owned > 0) continue;
    by_address_.erase(n.address);
    n = Node{};
    for (Node& other : nodes_) std::erase(other.replicas, i);
    dropped = true;
  }
  return dropped;
}

bool SlotTable::on_moved(Slot slot, NodeIndex from, NodeIndex to) {
  if (slots_[slot].owner != from || from == to) return false;
  // Keeps the slot's epoch, so that the old owner's claim with the same epoch does not win again.
  return assign(slot, to, slots_[slot].epoch);
}

}  // namespace balancer::cluster

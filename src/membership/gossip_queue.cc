#include "membership/gossip_queue.h"

#include <algorithm>

namespace balancer::membership {
namespace {

constexpr std::size_t kMaxQueued = 1024;

}  // namespace

void GossipQueue::push(const MemberUpdate& update) {
  std::erase_if(updates_, [&](const auto& queued) { return queued.update.name == update.name; });
  if (updates_.size() >= kMaxQueued) updates_.pop_back();
  updates_.push_front({update, 0});
}

std::vector<MemberUpdate> GossipQueue::take(std::size_t max_updates, int max_transmits,
                                            const MemberUpdate* first) {
  std::stable_sort(updates_.begin(), updates_.end(),
                   [](const auto& a, const auto& b) { return a.transmits < b.transmits; });
  std::vector<MemberUpdate> taken;
  if (first) taken.push_back(*first);
  for (QueuedUpdate& queued : updates_) {
    if (taken.size() >= max_updates) break;
    if (first && queued.update.name == first->name) continue;
    taken.push_back(queued.update);
    ++queued.transmits;
  }
  std::erase_if(updates_,
                [max_transmits](const auto& queued) { return queued.transmits >= max_transmits; });
  return taken;
}

}  // namespace balancer::membership

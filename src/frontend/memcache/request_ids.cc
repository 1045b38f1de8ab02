#include "frontend/memcache/request_ids.h"

#include <algorithm>

#include "structures/stable_hash.h"

namespace balancer {
namespace {

constexpr Duration kMinRetention = std::chrono::seconds(30);
// Beyond half of the room, one client may have this part of it.
constexpr std::size_t kClientPart = 64;

}  // namespace

RequestIds::RequestIds(std::size_t max_remembered, Duration longest_deadline)
    : recent_(max_remembered, std::max(kMinRetention, 2 * longest_deadline)) {}

RequestIds::Result RequestIds::take(std::string_view id, bool is_remembered, ClientShare& share,
                                    Time now) {
  if (open_.contains(id)) return Result::kInUse;
  recent_.expire(now);
  const std::uint64_t hash = stable_hash(id);
  if (recent_.contains(hash)) return Result::kInUse;
  if (!is_remembered) return Result::kTaken;
  if (!has_room_for(share)) return Result::kNoRoom;
  recent_.insert(hash);
  ++share.count;
  if (on_remembered) on_remembered(hash);
  return Result::kTaken;
}

bool RequestIds::has_room_for(ClientShare& share) const {
  if (share.generation != recent_.generation()) share = {recent_.generation(), 0};
  const bool is_scarce = recent_.size() > recent_.max() / 2;
  return recent_.has_room() && (!is_scarce || share.count < recent_.max() / kClientPart);
}

void RequestIds::release(std::string_view id, bool may_have_run) {
  open_.erase(id);
  if (!may_have_run) recent_.erase(stable_hash(id));
}

void RequestIds::remember(const std::vector<std::uint64_t>& hashes, Time now) {
  recent_.expire(now);
  for (const std::uint64_t hash : hashes)
    if (recent_.has_room()) recent_.insert(hash);
}

}  // namespace balancer

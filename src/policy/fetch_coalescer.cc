#include "policy/fetch_coalescer.h"

namespace balancer {

bool FetchCoalescer::has_other_leader(std::uint64_t key, RequestId id) const {
  const auto at = fetches_.find(key);
  return at != fetches_.end() && at->second.leader != id;
}

std::uint64_t FetchCoalescer::follow(std::uint64_t key, RequestId id) {
  fetches_.at(key).followers.emplace(++last_place_, id);
  return last_place_;
}

void FetchCoalescer::unfollow(std::uint64_t key, std::uint64_t place) {
  const auto at = fetches_.find(key);
  if (at != fetches_.end()) at->second.followers.erase(place);
}

std::vector<RequestId> FetchCoalescer::complete(std::uint64_t key, RequestId id) {
  const auto at = fetches_.find(key);
  if (at == fetches_.end() || at->second.leader != id) return {};
  std::vector<RequestId> followers;
  for (const auto& [place, follower] : at->second.followers) followers.push_back(follower);
  fetches_.erase(at);
  return followers;
}

}  // namespace balancer

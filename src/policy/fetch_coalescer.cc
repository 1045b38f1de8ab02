#include "policy/fetch_coalescer.h"

#include <utility>

namespace balancer {

bool FetchCoalescer::has_other_leader(std::uint64_t key, RequestId id) const {
  const auto at = fetches_.find(key);
  return at != fetches_.end() && at->second.leader != id;
}

std::vector<RequestId> FetchCoalescer::complete(std::uint64_t key, RequestId id) {
  const auto at = fetches_.find(key);
  if (at == fetches_.end() || at->second.leader != id) return {};
  std::vector<RequestId> followers = std::move(at->second.followers);
  fetches_.erase(at);
  return followers;
}

}  // namespace balancer

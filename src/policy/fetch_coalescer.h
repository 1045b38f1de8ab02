#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/request.h"

namespace balancer {

// Limits fetches of a key from the origin to one at a time. The request that fetches the key is the
// leader; other requests that miss the key meanwhile are its followers.
class FetchCoalescer {
 public:
  // Returns whether a request other than `id` is fetching the key.
  bool has_other_leader(std::uint64_t key, RequestId id) const;
  // Registers `id` as a follower of the request that is fetching the key; there must be one.
  // Returns its place among the followers.
  std::uint64_t follow(std::uint64_t key, RequestId id);
  // Removes the follower with this place, if it is still registered.
  void unfollow(std::uint64_t key, std::uint64_t place);
  // Registers `id` as the leader for the key, unless the key already has a leader.
  void lead(std::uint64_t key, RequestId id) { fetches_.try_emplace(key, Fetch{id, {}}); }
  // Ends the leader's fetch. Returns its followers in the order of their registration; empty if
  // `id` is not the leader for the key.
  std::vector<RequestId> complete(std::uint64_t key, RequestId id);

 private:
  struct Fetch {
    RequestId leader;
    std::map<std::uint64_t, RequestId> followers;  // by place
  };
  std::unordered_map<std::uint64_t, Fetch> fetches_;  // by key
  std::uint64_t last_place_ = 0;
};

}  // namespace balancer

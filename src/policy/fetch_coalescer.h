#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/request.h"

namespace balancer {

// One fetch of a key from the origin at a time: the request that fetches is the leader, others that
// miss the key meanwhile follow it.
class FetchCoalescer {
 public:
  // Whether a request other than `id` fetches the key now.
  bool has_other_leader(std::uint64_t key, RequestId id) const;
  // The key is being fetched by another request; `id` waits for it.
  void follow(std::uint64_t key, RequestId id) { fetches_.at(key).followers.push_back(id); }
  // `id` fetches the key from now on.
  void lead(std::uint64_t key, RequestId id) { fetches_.try_emplace(key, Fetch{id, {}}); }
  // The leader's fetch has ended. Returns its followers in the order in which they came; none if
  // `id` does not lead a fetch of the key.
  std::vector<RequestId> complete(std::uint64_t key, RequestId id);

 private:
  struct Fetch {
    RequestId leader;
    std::vector<RequestId> followers;
  };
  std::unordered_map<std::uint64_t, Fetch> fetches_;  // by key
};

}  // namespace balancer

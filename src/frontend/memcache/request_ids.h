#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "structures/recent_ids.h"

namespace balancer {

// The ids that clients gave to their requests. Hosts distinguish requests by them, so two open
// requests must not share one; and the id of a request that may not simply be repeated must not
// come again once it may have run, whether or not its client has left. Such ids are remembered for
// at least 30 s and twice the longest deadline, also those of the other process of a hot restart.
class RequestIds {
 public:
  // What one client has added to the remembered ids. One client must not use up the room of all.
  struct ClientShare {
    std::uint64_t generation = 0;
    std::size_t count = 0;
  };
  enum class Result {
    kTaken,
    kInUse,   // the id is that of an open request, or of one that may have run
    kNoRoom,  // nothing is known against the id, but it could not be remembered
  };

  // `max_remembered`: bound on the remembered ids.
  RequestIds(std::size_t max_remembered, Duration longest_deadline);

  // Takes an id for a request; hold() must follow. `is_remembered`: the request must not run again.
  Result take(std::string_view id, bool is_remembered, ClientShare& share, Time now);
  // Marks the id as that of an open request. It must stay valid until release().
  void hold(std::string_view id) { open_.insert(id); }
  // The request has ended. If it may not have run, its id may come again.
  void release(std::string_view id, bool may_have_run);

  // Remembers ids that the other process of a hot restart has taken.
  void remember(const std::vector<std::uint64_t>& hashes, Time now);
  // Returns the hashes of the remembered ids.
  std::vector<std::uint64_t> remembered() const { return recent_.all(); }
  // Called with the hash of each id that is remembered from now on.
  std::function<void(std::uint64_t hash)> on_remembered;

 private:
  bool has_room_for(ClientShare& share) const;

  std::unordered_set<std::string_view> open_;
  RecentIds recent_;
};

}  // namespace balancer

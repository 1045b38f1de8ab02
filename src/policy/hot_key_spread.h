#pragma once

#include <cstddef>
#include <cstdint>

#include "structures/recent_counts.h"
#include "structures/time.h"

namespace balancer {

// Computes the number of hosts that the requests for a key are spread over. A hot key would
// overload a single owner regardless of the number of hosts.
class HotKeySpread {
 public:
  explicit HotKeySpread(Time now);

  void on_read(std::uint64_t key, Time now) { reads_.add(key, now); }
  // Returns the number of hosts, at least 1, that is needed to reduce each host's part of the key's
  // requests to an ordinary share of its load. `hosts`: number of known hosts.
  std::size_t spread(std::uint64_t key, std::size_t hosts) const;

 private:
  RecentCounts reads_;  // by key
};

}  // namespace balancer

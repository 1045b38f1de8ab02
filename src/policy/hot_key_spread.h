#pragma once

#include <cstddef>
#include <cstdint>

#include "structures/recent_counts.h"
#include "structures/time.h"

namespace balancer {

// Over how many hosts the requests of a key are spread. A hot key would overload a single owner
// however many hosts there are.
class HotKeySpread {
 public:
  explicit HotKeySpread(Time now);

  void on_read(std::uint64_t key, Time now) { reads_.add(key, now); }
  // At least 1; as many as bring each host's part of the key down to an ordinary share.
  // `hosts`: the number of hosts that are known.
  std::size_t spread(std::uint64_t key, std::size_t hosts) const;

 private:
  RecentCounts reads_;  // by key
};

}  // namespace balancer

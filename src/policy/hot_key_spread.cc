#include "policy/hot_key_spread.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

constexpr Duration kCountingPeriod = std::chrono::seconds(15);
// A key is hot when it alone asks for this share of what a host carries on average.
constexpr double kHotShare = 0.5;

}  // namespace

HotKeySpread::HotKeySpread(Time now) : reads_(kCountingPeriod, now) {}

// One standard deviation is taken off the count, and as many requests as there are ordinary parts
// are added to the total, so that a chance repeat, or the first request after a start, does not
// make a key hot.
std::size_t HotKeySpread::spread(std::uint64_t key, std::size_t hosts) const {
  const auto reads = static_cast<double>(reads_.count(key));
  const double parts = static_cast<double>(hosts) / kHotShare;
  const double share = (reads - std::sqrt(reads)) / (static_cast<double>(reads_.total()) + parts);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(share * parts)));
}

}  // namespace balancer

#include "policy/hot_key_spread.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

constexpr Duration kCountingPeriod = std::chrono::seconds(15);
// A key is hot if its requests alone exceed this share of the average load of a host.
constexpr double kHotShare = 0.5;

}  // namespace

HotKeySpread::HotKeySpread(Time now) : reads_(kCountingPeriod, now) {}

// One standard deviation is subtracted from the count, and `shares` requests are added to the
// total, so that neither a chance repetition nor the first request after a start makes a key hot.
std::size_t HotKeySpread::spread(std::uint64_t key, std::size_t hosts) const {
  const auto reads = static_cast<double>(reads_.count(key));
  const double shares = static_cast<double>(hosts) / kHotShare;
  const double share = (reads - std::sqrt(reads)) / (static_cast<double>(reads_.total()) + shares);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(share * shares)));
}

}  // namespace balancer

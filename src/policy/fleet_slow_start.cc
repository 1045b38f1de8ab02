#include "policy/fleet_slow_start.h"

namespace balancer {
namespace {

// Averaging time of the work rate; a few requests per host are enough.
constexpr double kWorkMemorySeconds = 10;

}  // namespace

FleetSlowStart::FleetSlowStart(const SlowStartRule& rule, const HostRegistry& hosts, Time now)
    : rule_(rule), hosts_(hosts), cache_work_(kWorkMemorySeconds, now) {}

bool FleetSlowStart::has_budget(HostIndex index, Time now, double work) {
  const HostRegistry::Host& host = hosts_[index];
  if (host.is_origin) return true;
  const double normal_rate =
      hosts_.total_weight() > 0 ? cache_work_.rate(now) * host.weight / hosts_.total_weight() : 0;
  return starts_[index].has_budget(now, rule_, work, normal_rate);
}

void FleetSlowStart::restore_work_rate(Time now, double rate) {
  cache_work_.add(now, rate * kWorkMemorySeconds);
}

}  // namespace balancer

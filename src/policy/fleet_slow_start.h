#pragma once

#include <cstddef>
#include <vector>

#include "hosts/host_registry.h"
#include "policy/slow_start.h"
#include "structures/decaying_sum.h"
#include "structures/time.h"

namespace balancer {

// Slow start of all cache hosts. A host that receives more work than it can handle while it warms
// up becomes overloaded and does not recover. The budget of a host is derived from the work that
// this balancer sends to warm hosts of the same size: if every balancer observes it, their combined
// load on the host is proportional to the host's slow-start weight.
class FleetSlowStart {
 public:
  using HostIndex = HostRegistry::Index;

  // `hosts` is held by reference and must outlive this object.
  FleetSlowStart(const SlowStartRule& rule, const HostRegistry& hosts, Time now);

  // Resizes the table to the number of indices in the registry.
  void resize() { starts_.resize(hosts_.size()); }
  void reset(HostIndex host) { starts_[host] = {}; }
  // For these functions see SlowStart.
  void on_start(HostIndex host, Time started, double initial_budget) {
    starts_[host].on_start(started, initial_budget);
  }
  void on_earlier_start(HostIndex host, Time started) { starts_[host].on_earlier_start(started); }
  double weight(HostIndex host, Time now) const { return starts_[host].weight(now, rule_); }
  // Refills the host's budget up to `now`. Returns whether `work` seconds may be sent to the host
  // then; always true for the origin, which has no slow start.
  bool has_budget(HostIndex host, Time now, double work);
  void spend(HostIndex host, double work) { starts_[host].spend(work); }

  // Records that an attempt of `work` seconds was sent to a cache host.
  void on_cache_work(Time now, double work) { cache_work_.add(now, work); }
  // Returns the recent rate of work sent to all cache hosts, in seconds per second.
  double work_rate(Time now) const { return cache_work_.rate(now); }
  void restore_work_rate(Time now, double rate);

 private:
  const SlowStartRule rule_;
  const HostRegistry& hosts_;
  std::vector<SlowStart> starts_;  // by index in the registry
  DecayingSum cache_work_;         // seconds of work
};

}  // namespace balancer

#pragma once

#include <cstddef>
#include <vector>

#include "hosts/host_registry.h"
#include "policy/slow_start.h"
#include "structures/decaying_sum.h"
#include "structures/time.h"

namespace balancer {

// Slow start of all cache hosts. A host that gets more than it can do yet falls and stays down. The
// measure is the work that this balancer sends to warm hosts of the same size: if each balancer
// keeps to it, all together load a host by its slow-start weight.
class FleetSlowStart {
 public:
  using HostIndex = HostRegistry::Index;

  // `hosts` is referred to and outlives it.
  FleetSlowStart(const SlowStartRule& rule, const HostRegistry& hosts, Time now);

  // Makes room for all indices of the registry.
  void resize() { starts_.resize(hosts_.size()); }
  void forget(HostIndex host) { starts_[host] = {}; }
  // See SlowStart.
  void on_start(HostIndex host, Time started, double initial_budget) {
    starts_[host].on_start(started, initial_budget);
  }
  void on_earlier_start(HostIndex host, Time started) { starts_[host].on_earlier_start(started); }
  double weight(HostIndex host, Time now) const { return starts_[host].weight(now, rule_); }
  // Refills the host's budget up to `now`; whether `work` seconds may be sent there then. The
  // origin has no slow start.
  bool has_budget(HostIndex host, Time now, double work);
  void spend(HostIndex host, double work) { starts_[host].spend(work); }

  // An attempt of `work` seconds went to some cache host.
  void on_cache_work(Time now, double work) { cache_work_.add(now, work); }
  // Work sent to all cache hosts lately, in seconds per second.
  double work_rate(Time now) const { return cache_work_.rate(now); }
  void restore_work_rate(Time now, double rate);

 private:
  const SlowStartRule rule_;
  const HostRegistry& hosts_;
  std::vector<SlowStart> starts_;  // by index in the registry
  DecayingSum cache_work_;         // seconds of work
};

}  // namespace balancer

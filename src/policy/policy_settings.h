#pragma once

#include <vector>

#include "policy/request.h"
#include "policy/slow_start.h"
#include "structures/time.h"

namespace balancer {

// Settings of the policy for one deployment, filled in by the readers of the settings formats.
struct Settings {
  // Number of balancers that share the tenants' quotas. Default: 1.
  int balancers = 1;
  // Indexed by Request::request_class. Default: none.
  std::vector<RequestClass> classes;
  // Requests per second summed over all balancers, indexed by Request::tenant. Default: no quotas.
  std::vector<double> tenant_quotas;
  // The balancer fetches keys from the origin after cache misses, and sends writes to the origin.
  bool cache_aside = false;
  // The host list has to be polled; otherwise an agent pushes it.
  bool discovery_is_polled = false;
  // Longest time between two polls. Default: 0.
  Duration max_poll_interval{0};
  // The weights in the host list are the hosts' relative sizes and are used for placement;
  // otherwise all hosts have weight 1.
  bool static_weights = false;
  // A request may have several attempts in flight.
  bool hedging = false;
  // Clients send a rejected keyed request again only within its deduplication window. Otherwise a
  // rejection means that nothing has run, and they may come at any time.
  bool clients_know_windows = true;
  // Attempts per request, including the first one; withdrawn attempts do not count.
  int max_attempts = 1;
  // Upper bound of Retry-After. Default: 0, no Retry-After is sent.
  Duration max_retry_after{0};
  // Slow start of cache hosts.
  SlowStartRule slow_start;
};

}  // namespace balancer

#pragma once

#include <vector>

#include "policy/request.h"
#include "policy/slow_start.h"
#include "structures/time.h"

namespace balancer {

// What the deployment demands of the policy. The settings' readers fill it in.
struct Settings {
  // Number of balancers that share the tenants' quotas. Default: 1.
  int balancers = 1;
  // Indexed by Request::request_class. Default: none.
  std::vector<RequestClass> classes;
  // Requests per second over all balancers, indexed by Request::tenant. Default: no quotas.
  std::vector<double> tenant_quotas;
  // After a cache miss the balancer fetches the key from the origin, and sends writes there.
  bool cache_aside = false;
  // The host list has to be polled; else it is pushed by an agent.
  bool discovery_is_polled = false;
  // Longest time between two polls. Default: 0.
  Duration max_poll_interval{0};
  // The list's weights tell the hosts' sizes and are used for placement; else all hosts weigh 1.
  bool static_weights = false;
  // A request may have several attempts in flight.
  bool hedging = false;
  // Attempts per request, the first one included; withdrawn ones do not count.
  int max_attempts = 1;
  // Upper bound of Retry-After. Default: 0, clients get no Retry-After.
  Duration max_retry_after{0};
  // Slow start of cache hosts.
  SlowStartRule slow_start;
};

}  // namespace balancer

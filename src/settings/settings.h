#pragma once

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace balancer {

// The settings object of the platform's configuration: the policy's settings, and those that only
// the code that carries out the policy's decisions needs.
struct SiteSettings {
  Settings policy;
  std::int64_t origin_kind = -1;  // index in `kinds`
  // Names by index.
  std::vector<std::string> classes, tenants, zones, kinds;
  Duration connect_timeout{0};
  Duration idle_close{0};  // hosts close connections that have been idle for this long
  int streams_per_connection = 1;
  // Clients share connections; without it, only where no further connection can be opened.
  bool shared_connections = false;
  Duration slow_after{std::chrono::milliseconds(2)};  // faster answers never count as slow
  // Limit of non-idempotent attempts in flight on one connection.
  std::size_t max_non_idempotent_per_connection = SIZE_MAX;
  std::size_t max_connections = SIZE_MAX;  // to all hosts together
  std::int64_t max_open_requests = 0;      // limit of open requests; 0: unlimited
};

// Throws FieldError.
SiteSettings read_settings(simdjson::dom::object o);

}  // namespace balancer

#pragma once

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace balancer {

// The settings object that an instance is given: what the module reads, and what only those who
// carry out its decisions need.
struct SiteSettings {
  Settings policy;
  std::int64_t origin_kind = -1;
  // Names in the order of their indices.
  std::vector<std::string> classes, tenants, zones, kinds;
  Duration connect_timeout{0};
  Duration idle_close{0};  // hosts close connections that have stood idle for this long
  int streams_per_connection = 1;
  bool shared_connections = false;                    // not only where no other can be had
  Duration slow_after{std::chrono::milliseconds(2)};  // no answer that took less counts as slow
  std::size_t max_unsafe = SIZE_MAX;       // attempts on one connection that must never run twice
  std::size_t max_connections = SIZE_MAX;  // to all hosts together
  std::int64_t max_held = 0;  // requests that may be open at once; 0: no limit is stated
};

// Throws FieldError.
SiteSettings read_settings(simdjson::dom::object o);

}  // namespace balancer

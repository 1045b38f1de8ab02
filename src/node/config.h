#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/host_list.h"
#include "settings/settings.h"

namespace balancer::node {

struct Config {
  std::string name;
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> admin;  // for operators; none: they are not heard
  // Where this process and its next version find each other: TMPDIR, and only with `admin`.
  std::string folder;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  SiteSettings site;
  std::optional<HostList> known;
};

// Whether the platform has given a configuration.
bool has_config();
// From the file named by ROUTER_CONFIG and, where that lacks something, from the other variables.
// Throws std::runtime_error with one plain line.
Config load_config();

}  // namespace balancer::node

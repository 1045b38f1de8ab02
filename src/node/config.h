#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/host_list.h"
#include "settings/settings.h"

namespace balancer::node {

// The platform's configuration.
struct Config {
  std::string name;               // of the balancer, in the log and for its peers
  Endpoint listen;                // for memcache clients
  Endpoint discovery;             // of the discovery service, which lists the hosts
  std::optional<Endpoint> admin;  // for operators' calls; default: calls are disabled
  std::string folder;             // for hot restart: TMPDIR with `admin`; empty: disabled
  std::uint64_t seed = 0;         // of all random numbers; default: random
  std::size_t sockets = 1024;     // descriptors, 64 to 2^20
  std::size_t memory_mb = 192;    // MiB, 32 to 2^20
  SiteSettings site;
  std::optional<HostList> known;  // initial endpoint list; default: none
};

// Returns whether ROUTER_CONFIG is set.
bool has_config();
// Reads the file named by ROUTER_CONFIG. Addresses and the name are taken from ROUTER_LISTEN,
// ROUTER_DISCOVERY, ROUTER_ADMIN and ROUTER_NAME where the file does not state them. Throws
// FileError with a one-line message "FILE: FIELD REASON".
Config load_config();

}  // namespace balancer::node

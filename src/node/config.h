#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/host_list.h"
#include "settings/settings.h"

namespace balancer::node {

// The platform's configuration.
struct Config {
  std::string name;               // of the balancer, in the log and to its peers
  Endpoint listen;                // for memcache clients
  Endpoint discovery;             // of the service that lists the hosts
  std::optional<Endpoint> admin;  // for operators' calls; default: none, nobody may call
  std::string folder;             // of the hot restart: TMPDIR with `admin`; empty: none
  std::uint64_t seed = 0;         // of all random draws; default: a random one
  std::size_t sockets = 1024;     // descriptors, 64 to 2^20
  std::size_t memory_mb = 192;    // MiB, 32 to 2^20
  SiteSettings site;
  std::optional<HostList> known;  // endpoint list to begin with; default: none
};

// Whether ROUTER_CONFIG is set.
bool has_config();
// Reads the file named by ROUTER_CONFIG; addresses and the name that it lacks are taken from
// ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_ADMIN and ROUTER_NAME. Throws FileError, "FILE: FIELD
// REASON" in one line.
Config load_config();

}  // namespace balancer::node

#pragma once

#include "net/host_list.h"
#include "proto/hot_restart_wire.h"

// Hosts of the endpoint list as a hot restart's messages carry them.
namespace balancer::node {

hot_restart::HostRecord to_record(const ListedHost& host);
// A complete list.
HostList to_host_list(const hot_restart::Snapshot& snapshot);

}  // namespace balancer::node

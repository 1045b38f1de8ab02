#pragma once

#include "net/host_list.h"
#include "proto/hot_restart_wire.h"

// Converts hosts between the endpoint list and the messages of a hot restart.
namespace balancer::node {

hot_restart::HostRecord to_record(const EndpointListEntry& host);
// Returns a complete list of the snapshot's hosts.
HostList to_host_list(const hot_restart::Snapshot& snapshot);

}  // namespace balancer::node

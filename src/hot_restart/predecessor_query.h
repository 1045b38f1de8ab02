#pragma once

#include <map>
#include <string>

#include "hot_restart/state_files.h"
#include "net/descriptor_link.h"
#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {

// What a starting process has received from the process that serves under the same name.
struct Predecessor {
  Descriptor link;  // empty: there was no answer
  Snapshot snapshot;
  std::map<std::string, Descriptor> sockets;  // listening sockets by address
  bool is_presumed = false;                   // a process runs but could not be queried
};

// Queries the process that serves under `name` in `folder` for its state. Blocks for at most 5 s,
// so it must be called before the event loop runs. Logs failures and reports them in the result.
Predecessor query_predecessor(const std::string& folder, const std::string& name, const Log& log);

}  // namespace balancer::hot_restart

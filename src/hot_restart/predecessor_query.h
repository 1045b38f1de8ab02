#pragma once

#include <map>
#include <string>

#include "hot_restart/state_files.h"
#include "net/descriptor_link.h"
#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {

// What a starting process has received from the one that serves under its name.
struct Predecessor {
  Descriptor link;  // empty: nobody answered
  Snapshot snapshot;
  std::map<std::string, Descriptor> sockets;  // listening ones, by address
  bool is_presumed = false;  // a process holds the socket file and did not answer in time
};

// Asks the process that serves under `name` in `folder` for its state. Blocks, for at most 5 s:
// call it before the event loop runs. A failure is logged and shows in the result.
Predecessor query_predecessor(const std::string& folder, const std::string& name, const Log& log);

}  // namespace balancer::hot_restart

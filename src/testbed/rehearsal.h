#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "testbed/model/scenario.h"

namespace balancer::testbed {

struct RehearsalOptions {
  std::string program;  // path of the balancer
  std::string folder;   // for reports, logs and configurations; created if missing
  bool progress = true;
};

// Each function runs to its end, or until SIGINT or SIGTERM, and stops all processes that it
// started. Returns the exit code: 0 on success, 1 if a rule was broken or a balancer crashed, 2 if
// the run could not be carried out.
int run_rehearsal(const Scenario& scenario, const RehearsalOptions& options);
// Runs only the emulated fleet, for balancers started by the user, and writes a configuration for
// each of them.
int run_fleet(const Scenario& scenario, const RehearsalOptions& options);
// Runs only the clients, against balancers at these addresses. The behaviour of hosts is not
// audited.
int run_load(const Scenario& scenario, const std::vector<std::string>& balancers,
             const RehearsalOptions& options);

}  // namespace balancer::testbed

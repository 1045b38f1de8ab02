#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "testbed/model/scenario.h"

namespace balancer::testbed {

struct RehearsalOptions {
  std::string program;  // the balancer's
  std::string folder;   // for reports, logs and configurations; made if it is not there
  bool progress = true;
};

// Each runs to its end, or until SIGINT or SIGTERM, and ends what it has started. Returns the exit
// code: 0, 1 where a rule was broken or a balancer crashed, 2 where it could not be carried out.
int run_rehearsal(const Scenario& scenario, const RehearsalOptions& options);
// The fleet alone, for balancers that somebody else starts; writes a configuration for each.
int run_fleet(const Scenario& scenario, const RehearsalOptions& options);
// The clients alone, against balancers at these addresses. What hosts did cannot be judged.
int run_load(const Scenario& scenario, const std::vector<std::string>& balancers,
             const RehearsalOptions& options);

}  // namespace balancer::testbed

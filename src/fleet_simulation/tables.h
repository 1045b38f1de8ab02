#pragma once

#include <string>

#include "fleet_simulation/plant.h"

namespace balancer::fleet_simulation {

// Options of table(). With `by_time`, the table starts with the control loops' signals and the
// worth of the first seed by half second.
struct TableOptions {
  Options plant;
  int seeds = 1;
  bool by_time = true;
};
// Runs the scenario on the plant once for each seed. Returns a text table with one line per seed,
// which contains the cost of the first incident.
std::string table(testbed::Scenario scenario, const TableOptions& options);

}  // namespace balancer::fleet_simulation

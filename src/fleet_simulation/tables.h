#pragma once

#include <string>

#include "fleet_simulation/plant.h"

namespace balancer::fleet_simulation {

// Runs of one scenario on the plant, as text: loops and worth by half second of the first seed
// (with `by_time`), and a line a seed with what the first incident cost.
struct TableOptions {
  Options plant;
  int seeds = 1;
  bool by_time = true;
};
std::string table(testbed::Scenario scenario, const TableOptions& options);

}  // namespace balancer::fleet_simulation

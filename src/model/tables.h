#pragma once

#include <string>

#include "model/plant.h"

namespace silverpin::model {

// Runs of one scenario on the plant, as text: loops and worth by half second of the first seed
// (with `by_time`), and a line a seed with what the first incident cost.
struct TableOptions {
  Options plant;
  int seeds = 1;
  bool by_time = true;
};
std::string table(rig::Scenario scenario, const TableOptions& options);

}  // namespace silverpin::model

#pragma once

#include <functional>
#include <string>
#include <vector>

namespace balancer::testbed::attack {

// One client that sends at full speed on one connection beside ordinary clients.
struct Flood {
  std::string name;  // in CamelCase, as part of test names
  // Returns the next write of the client; empty function: there is no such client.
  std::function<std::string()> next_write;
};

// All floods, the first of which is none.
const std::vector<Flood>& all_floods();

// What five ordinary clients got during nine seconds.
struct FloodFigures {
  int served = 0;
  int not_served = 0;                         // refused, failed, late or closed
  double p95_seconds = 0, worst_seconds = 0;  // of all requests of ordinary clients
  double peak_mb = 0;                         // highest resident memory of the process
};

// Plays the flood for eight seconds against a balancer in front of the emulated fleet of
// `scenario`, a scenario's TOML file.
FloodFigures play(const Flood& flood, const std::string& program, const std::string& scenario,
                  int memory_mb, int sockets);

}  // namespace balancer::testbed::attack

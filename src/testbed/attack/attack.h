#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "testbed/attack/client_crowd.h"
#include "testbed/attack/stand_in_servers.h"

namespace balancer::testbed::attack {

// A way in which clients, servers or discovery try to make a balancer hold memory.
struct Shape {
  enum class Dialect { kMemcache, kResp };

  std::string name;  // in CamelCase, as part of test names
  Dialect dialect = Dialect::kMemcache;
  ServerBehavior servers;
  // Creates the clients' plans.
  std::function<std::vector<ClientPlan>()> clients;
  std::chrono::milliseconds duration{5000};
};

// All shapes, in the order of the bench's table.
const std::vector<Shape>& all_shapes();

struct AttackFigures {
  double peak_mb = 0;          // highest resident memory of the process
  double after_mb = 0;         // resident memory one second after the clients have left
  bool has_ended = false;      // the process ended by itself
  bool answers_after = false;  // a client that came after the attack got an answer
  CrowdFigures clients;
  std::string last_log_lines;
};

// Starts a balancer, `program`, with these limits and plays the shape against it. Blocks the
// calling thread; several may run at once. Throws std::runtime_error if the balancer does not
// start.
AttackFigures play(const Shape& shape, const std::string& program, int memory_mb, int sockets);

}  // namespace balancer::testbed::attack

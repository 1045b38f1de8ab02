#pragma once

#include <cstdint>
#include <string>

// How a service address moves: five real balancers in a group, a router, and a probe that asks
// through the router all the time, while the holder is killed, stopped, cut off or told to hand
// over.
namespace balancer::testbed {

struct MoveOptions {
  std::string program;  // the balancer's
  std::string folder;   // for logs, state and the report; made if it is not there
  int instances = 5, voters = 3;
  int rounds = 12;
  std::string only;  // one kind of trouble, by its name; empty: all in turn
  std::uint64_t seed = 1;
  std::string faults;  // a FaultPlan's text, for each process; empty: none
  bool progress = true;
};

// What is wrong with them; empty: nothing.
std::string check_moves(const MoveOptions& options);

// Returns the exit code: 0; 1 where nobody took an address over within 20 s, two served at once for
// longer than the overlap of an orderly move, or the old one beside its successor where it hands
// nothing over; 2 where it could not be carried out. The report has the other times; none of them
// is judged.
int run_moves(const MoveOptions& options);

}  // namespace balancer::testbed

#pragma once

#include <cstdint>
#include <string>

// Measures how a service address fails over: a group of real balancer processes (5 by default), a
// router, and a probe that sends requests through the router continuously while the holder is
// killed, stopped, cut off or ordered to hand over.
namespace balancer::testbed {

struct FailoverOptions {
  std::string program;  // path of the balancer
  std::string folder;   // for logs, state and the report; created if missing
  int instances = 5, voters = 3;
  int rounds = 12;
  std::string only;  // name of the one fault to inject; empty: all faults in turn
  std::uint64_t seed = 1;
  std::string faults;  // text of a FaultPlan for each process; empty for none
  bool progress = true;
};

// Returns the error in the options; empty if they are valid.
std::string check_failover_options(const FailoverOptions& options);

// Runs the test and returns the exit code. 0: passed. 1: no instance took the address over within
// 20 s, two instances served at once for longer than the overlap of an orderly move, or the old
// holder served alongside its successor where it does not hand over. 2: the test could not be run.
// All other times are reported and not checked.
int run_failover_test(const FailoverOptions& options);

}  // namespace balancer::testbed

#pragma once

#include <cstdint>
#include <string>

namespace balancer::testbed {

/// A promise that has to hold for most cases of a run, where the four rules hold for each. It fails
/// the run once more cases break it than are allowed.
struct Check {
  std::string name;
  std::uint64_t cases = 0;    // all that it was held against
  std::uint64_t broken = 0;   // of them
  std::uint64_t allowed = 0;  // most broken ones with which the run still passes
  std::string example;        // the first broken case, in a line or more; empty: none

  bool failed() const { return broken > allowed; }
};

}  // namespace balancer::testbed

#pragma once

#include <cstdint>
#include <string>

namespace balancer::testbed {

/// A property that has to hold for most cases of a run, whereas the four rules have to hold for
/// every case. The run fails if more cases break it than are allowed.
struct Check {
  std::string name;
  std::uint64_t cases = 0;    // cases that were checked
  std::uint64_t broken = 0;   // cases that broke the property
  std::uint64_t allowed = 0;  // the run passes with at most this many broken cases
  std::string example;        // the first broken case, in one or more lines; empty: none

  bool failed() const { return broken > allowed; }
};

}  // namespace balancer::testbed

#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "testbed/model/base.h"

namespace balancer::testbed {

// Counts the load of all balancers together on hosts, origin and discovery in intervals of 0.1 s,
// to show thundering herds that the figures of a single balancer do not show. A run of two hours
// takes 1.5 MB. Performs no I/O.
class Stampede {
 public:
  enum class Kind {
    kConnection,   // new connections to hosts and to the origin
    kProbe,        // `mn`, `stats load` and similar commands at the origin
    kListCall,     // list requests to discovery
    kColdAttempt,  // attempts at a host that is not warm yet
    kFetch         // reads at the origin
  };
  static constexpr int kKinds = 5;
  static const char* name_of(Kind kind);

  void count(Kind kind, Time at);

  struct Figures {
    double mean_before = 0;  // per tenth of a second, from `from` up to `at`
    double max_before = 0;
    double most = 0;        // highest count of a tenth from `at` up to `end`
    double max_at = 0;      // begin of that tenth, in seconds of the run
    std::uint64_t all = 0;  // total from `at` up to `end`
    // Returns `most` as a multiple of `mean_before`, which counts as at least 1 per tenth.
    double times() const { return most / (mean_before > 1 ? mean_before : 1); }
  };
  Figures figures(Kind kind, Time from, Time at, Time end) const;

 private:
  std::array<std::vector<std::uint32_t>, kKinds> tenths_;
};

}  // namespace balancer::testbed

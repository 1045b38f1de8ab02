#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "testbed/model/base.h"

namespace balancer::testbed {

// What all balancers together ask of what stands behind them, by tenths of a second: the figures
// that nobody sees who looks at one balancer. A run of two hours takes 1.5 MB. No I/O.
class Stampede {
 public:
  enum class Kind {
    kConnection,   // new ones at hosts and at the origin
    kProbe,        // `mn`, `stats load` and their like at the origin
    kListCall,     // at discovery
    kColdAttempt,  // requests at a host that is not warm yet
    kFetch         // reads at the origin
  };
  static constexpr int kKinds = 5;
  static const char* name_of(Kind kind);

  void count(Kind kind, Time at);

  struct Figures {
    double mean_before = 0;  // a tenth of a second, from `from` up to `at`
    double max_before = 0;
    double most = 0;        // in any tenth from `at` up to `end`
    double max_at = 0;      // its begin, seconds of the run
    std::uint64_t all = 0;  // from `at` up to `end`
    // `most` as a multiple of the mean before, which counts as one a tenth at least.
    double times() const { return most / (mean_before > 1 ? mean_before : 1); }
  };
  Figures figures(Kind kind, Time from, Time at, Time end) const;

 private:
  std::array<std::vector<std::uint32_t>, kKinds> tenths_;
};

}  // namespace balancer::testbed

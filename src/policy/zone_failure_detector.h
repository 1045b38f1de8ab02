#pragma once

#include <map>

#include "policy/outcome_table.h"
#include "policy/outlier_detector.h"
#include "policy/uniform_random.h"
#include "structures/time.h"

namespace balancer {

// Ejects whole zones. If a zone is unreachable, ejecting its hosts one by one would cost each
// balancer a failed attempt per host.
class ZoneFailureDetector {
 public:
  // Records the end of an attempt at a cache host in `zone`.
  void on_outcome(Time now, int zone, ZoneSignal signal, UniformRandom& random);
  bool is_ejected(Time now, int zone) const;

 private:
  struct ZoneRecord {
    int consecutive_failures = 0;
    OutlierDetector ejection;
  };
  std::map<int, ZoneRecord> zones_;
};

}  // namespace balancer

#pragma once

#include <vector>

#include "hosts/host_registry.h"
#include "policy/admission_controller.h"
#include "policy/outcome_table.h"
#include "policy/outlier_detector.h"
#include "policy/recent_ratio.h"
#include "policy/request_state.h"
#include "policy/uniform_random.h"
#include "policy/zone_failure_detector.h"
#include "structures/time.h"

namespace balancer {

// Passes on what an attempt tells of its host, of the host's zone, of the origin and of the fleet.
// Each attempt is observed at its first byte or at its end, and once before that if it is slow.
class AttemptObserver {
 public:
  // Who learns from attempts. All are referred to and outlive the observer.
  struct Targets {
    const HostRegistry& hosts;
    std::vector<OutlierDetector>& outliers;  // by index in the registry
    ZoneFailureDetector& zones;
    AdmissionController& origin_admission;
    AdmissionController& cache_admission;
    UniformRandom& random;
  };

  explicit AttemptObserver(const Targets& targets);

  // The attempt's answer has begun.
  void on_first_byte(Time now, const AttemptRecord& attempt);
  // The attempt is in flight for longer than its slow threshold. Its `counted_slow` is set after.
  void on_slow(Time now, const AttemptRecord& attempt);
  // The attempt has ended. Its `is_answering` tells whether its first byte was observed.
  void on_outcome(Time now, const AttemptRecord& attempt, const OutcomeRule& rule, Result result);

  // The share of slow answers among the last ones of all cache hosts, 0 to 1.
  double slow_answer_ratio() const { return slow_answer_ratio_.value(); }
  // So many attempts get no connection that it is not a few hosts that are away.
  bool connections_are_scarce() const;

 private:
  void observe_origin(Time now, const AttemptRecord& attempt, OriginSignal signal);
  void observe_host(Time now, const AttemptRecord& attempt, HostSignal signal);
  void record_latency(Time now, const AttemptRecord& attempt, bool slow);

  const Targets targets_;
  RecentRatio slow_answer_ratio_;
  RecentRatio connect_failure_ratio_;
};

}  // namespace balancer

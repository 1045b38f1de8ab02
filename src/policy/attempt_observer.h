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

// Updates the detectors and controllers from the results of attempts: the outlier detector of the
// host, the failure detector of its zone, the admission controllers, and the fleet-wide ratios.
// Each attempt is reported at its first byte or at its end, and once before that if it is slow.
class AttemptObserver {
 public:
  // The objects that are updated. They are held by reference and must outlive the observer.
  struct Targets {
    const HostRegistry& hosts;
    std::vector<OutlierDetector>& outliers;  // by index in the registry
    ZoneFailureDetector& zones;
    AdmissionController& origin_admission;
    AdmissionController& cache_admission;
    UniformRandom& random;
  };

  explicit AttemptObserver(const Targets& targets);

  // Records that the first byte of the attempt's answer was received.
  void on_first_byte(Time now, const AttemptRecord& attempt);
  // Records that the attempt has been in flight for longer than its slow threshold. The caller sets
  // its `counted_slow` afterwards.
  void on_slow(Time now, const AttemptRecord& attempt);
  // Records the end of the attempt. Its `is_answering` is set if on_first_byte() was called for it.
  void on_outcome(Time now, const AttemptRecord& attempt, const OutcomeRule& rule, Result result);

  // Returns the share of slow answers among recent answers of all cache hosts, 0 to 1.
  double slow_answer_ratio() const { return slow_answer_ratio_.value(); }
  // Returns whether more recent attempts got no connection than a few unavailable hosts explain.
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

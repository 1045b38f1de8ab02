#pragma once

#include <optional>

#include "net/host_list.h"
#include "policy/policy.h"
#include "recovery/host_age_estimator.h"
#include "structures/time.h"

namespace balancer {

// Converts the Unix start times of an endpoint list into times on the monotonic clock. Owned by the
// server pool.
class HostStartTimes {
 public:
  // `wall_offset`: wall-clock time minus monotonic time at the start of the process. It may be
  // wrong, as the wall clock may be.
  explicit HostStartTimes(Duration wall_offset) : estimator_(wall_offset) {}

  // Updates the estimate of Unix time from the timestamps in a list that was received at `now`.
  void on_list(Time now, const HostList& list);
  // Returns when the host started, or nothing if the list has no start time for it, which means
  // that it started long ago.
  std::optional<HostStart> start_of(Time now, const EndpointListEntry& host) const;

 private:
  recovery::HostAgeEstimator estimator_;
};

}  // namespace balancer

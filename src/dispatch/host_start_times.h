#pragma once

#include <optional>

#include "net/host_list.h"
#include "policy/policy.h"
#include "recovery/host_age_estimator.h"
#include "structures/time.h"

namespace balancer {

// Turns the Unix start times of an endpoint list into times on the monotonic clock.
class HostStartTimes {
 public:
  // `wall_offset`: wall clock less monotonic clock at the start of the process; it may be wrong.
  explicit HostStartTimes(Duration wall_offset) : estimator_(wall_offset) {}

  // Learns the sender's clock from a list that was received at `now`.
  void on_list(Time now, const HostList& list);
  // None: the host started long ago.
  std::optional<HostStart> start_of(Time now, const ListedHost& host) const;

 private:
  recovery::HostAgeEstimator estimator_;
};

}  // namespace balancer

#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "hosts/host_registry.h"
#include "policy/fleet_slow_start.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/request_state.h"
#include "policy/retry_policy.h"
#include "policy/uniform_random.h"
#include "policy/zone_failure_detector.h"
#include "structures/time.h"

namespace balancer {

// One question to the HostSelector.
struct HostQuery {
  Time now{0};
  // Over how many hosts the key's requests are spread; at least 1.
  std::size_t spread = 1;
  // A retry takes the first candidate; other requests are spread.
  bool is_retry = false;
  // Hosts where this request has failed may be chosen again.
  bool retries_same_host = false;
  // The host that has just stored the key, if the request waited for a fetch of it.
  std::optional<Placement::Host> stored_at;
  // An attempt that is in flight for longer marks its host as stalled.
  Duration stall_threshold{0};
};

struct HostSelection {
  std::optional<Placement::Host> host;
  // No host was chosen, since one candidate after another is overloaded.
  bool is_overloaded = false;
};

// Chooses the cache host of an attempt: the key's owner, or the next candidate where the owner is
// away, ejected, warming up, overloaded, or has failed this request before. If all others are out,
// the first ejected one is chosen.
class HostSelector {
 public:
  // What a selection reads. All are referred to and outlive the selector.
  struct Sources {
    const Placement& placement;
    const HostRegistry& hosts;
    const RetryPolicy& retry_policy;
    const std::vector<OutlierDetector>& outliers;  // by index in the registry
    const ZoneFailureDetector& zones;
    FleetSlowStart& slow_start;
    UniformRandom& random;
  };

  explicit HostSelector(const Sources& sources) : sources_(sources) {}

  HostSelection select(const RequestState& request, const HostQuery& query) const;

 private:
  const Sources sources_;
};

}  // namespace balancer

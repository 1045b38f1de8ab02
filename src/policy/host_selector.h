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

// Parameters of one host selection.
struct HostQuery {
  Time now{0};
  // Number of hosts that the key's requests are spread over; at least 1.
  std::size_t spread = 1;
  // A retry uses the first suitable candidate; other requests are spread over `spread` hosts.
  bool is_retry = false;
  // Whether hosts where this request has failed may be chosen again.
  bool retries_same_host = false;
  // The host that has just stored the key, if the request waited for a fetch of it.
  std::optional<Placement::Host> stored_at;
  // A host with an attempt that has been in flight for longer than this counts as stalled.
  Duration stall_threshold{0};
};

struct HostSelection {
  std::optional<Placement::Host> host;
  // No host was chosen because several candidates are overloaded.
  bool is_overloaded = false;
};

// Chooses the cache host for an attempt: the key's owner, or the next candidate if the owner is
// unavailable, ejected, warming up, overloaded, or has already failed this request. If no other
// candidate is usable, the first ejected host is chosen.
class HostSelector {
 public:
  // The objects that a selection uses. They are held by reference and must outlive the selector.
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

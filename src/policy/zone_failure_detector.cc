#include "policy/zone_failure_detector.h"

namespace balancer {
namespace {

// If every second attempt fails for other reasons, a given run of 8 failures has probability 1/256.
constexpr int kConsecutiveZoneFailures = 8;

}  // namespace

void ZoneFailureDetector::on_outcome(Time now, int zone, ZoneSignal signal, UniformRandom& random) {
  if (signal == ZoneSignal::kNone) return;
  ZoneRecord& record = zones_[zone];
  if (signal == ZoneSignal::kReachable) {
    record.consecutive_failures = 0;
    record.ejection.on_success();
  } else if (++record.consecutive_failures >= kConsecutiveZoneFailures) {
    record.ejection.on_failure(now, random.next());
  }
}

bool ZoneFailureDetector::is_ejected(Time now, int zone) const {
  const auto at = zones_.find(zone);
  return at != zones_.end() && at->second.ejection.is_ejected(now);
}

}  // namespace balancer

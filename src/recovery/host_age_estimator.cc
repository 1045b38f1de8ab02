#include "recovery/host_age_estimator.h"

#include <algorithm>

namespace balancer::recovery {

void HostAgeEstimator::on_unix_time(Time now, UnixTime unix_time) {
  const Duration offset = unix_time.time_since_epoch() - now;
  min_offset_ = min_offset_ ? std::max(*min_offset_, offset) : offset;
}

Time HostAgeEstimator::started(Time now, UnixTime born) const {
  if (!min_offset_) return now;
  return std::min(now, born.time_since_epoch() - std::min(*min_offset_, wall_offset_));
}

}  // namespace balancer::recovery

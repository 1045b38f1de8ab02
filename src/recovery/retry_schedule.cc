#include "recovery/retry_schedule.h"

#include <cmath>
#include <utility>

namespace balancer::recovery {

Duration RetrySchedule::after_failure(double draw, double second_draw) {
  const double min = seconds(min_), max = seconds(max_);
  if (std::exchange(is_failing_, true)) return from_seconds(min + draw * (max - min));
  // The interval that contains a random instant is length-biased, and the instant is uniformly
  // distributed within it.
  const double interval = std::sqrt(min * min + draw * (max * max - min * min));
  return from_seconds(second_draw * interval);
}

}  // namespace balancer::recovery

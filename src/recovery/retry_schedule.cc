#include "recovery/retry_schedule.h"

#include <cmath>
#include <utility>

namespace balancer::recovery {

Duration RetrySchedule::after_failure(double chance, double second_chance) {
  const double a = seconds(min_), b = seconds(max_);
  if (std::exchange(failing_, true)) return from_seconds(a + chance * (b - a));
  // The interval that one comes into is a long one the more likely the longer it is, and any moment
  // of it is as likely as another.
  const double interval = std::sqrt(a * a + chance * (b * b - a * a));
  return from_seconds(second_chance * interval);
}

}  // namespace balancer::recovery

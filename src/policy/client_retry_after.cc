#include "policy/client_retry_after.h"

#include <algorithm>

namespace balancer {
namespace {

// Longer than most clients' timeout for one answer.
constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(2000);

}  // namespace

Duration client_retry_after(double admit_fraction, Duration soon, double admit_draw, double jitter,
                            Duration max) {
  const Duration wait = admit_draw < admit_fraction ? soon : kRetryAfterOverload;
  return std::min(from_seconds(seconds(wait) * (0.5 + jitter)), max);
}

}  // namespace balancer

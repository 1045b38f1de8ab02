#pragma once

#include "structures/time.h"

namespace balancer {

// Retry-After for clients that were not admitted. As many as would be admitted return after 0.5 to
// 1.5 times `soon`, spread so that they do not return in step; the others after 1 to 3 s, since
// clients that return into an overload prolong it. Never later than `max`; 0, no advice, where
// `max` is 0.
//
// `admit_fraction`: share of requests that is admitted now, 0 to 1. `soon`: the admission
// controller's target. `admit_draw`, `jitter`: random, in [0, 1).
Duration client_retry_after(double admit_fraction, Duration soon, double admit_draw, double jitter,
                            Duration max);

}  // namespace balancer

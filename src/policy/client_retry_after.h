#pragma once

#include "structures/time.h"

namespace balancer {

// Retry-After for clients that were not admitted. As many as would be admitted return within
// `soon`, spread so that they do not return in step; the others stay away for about 2 s, since
// clients that return into an overload prolong it.
//
// `admit_fraction`: share of requests that is admitted now, 0 to 1. `soon`: the admission
// controller's target. `admit_draw`, `jitter`: random, in [0, 1). At most `max`.
Duration client_retry_after(double admit_fraction, Duration soon, double admit_draw, double jitter,
                            Duration max);

}  // namespace balancer

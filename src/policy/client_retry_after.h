#pragma once

#include "structures/time.h"

namespace balancer {

// Returns the Retry-After time for a client whose request was not admitted. A share of the clients
// equal to `admit_fraction` is asked to retry after 0.5 to 1.5 times `soon`, spread so that the
// clients do not retry at the same time; all others after 1 to 3 s, since retries during an
// overload prolong it. The result is at most `max`; it is 0 (send no Retry-After) if `max` is 0.
//
// `admit_fraction`: share of requests that is admitted now, 0 to 1. `soon`: target of the admission
// controller. `admit_draw`, `jitter`: random, in [0, 1).
Duration client_retry_after(double admit_fraction, Duration soon, double admit_draw, double jitter,
                            Duration max);

}  // namespace balancer

#pragma once

#include <chrono>

#include "net/attempt.h"

namespace balancer {

// Returns the value of the `d` property that is sent to the server with an attempt written at
// `now`: how long the balancer will wait for the answer, in whole milliseconds rounded down. It
// never exceeds the time left until the attempt's deadline, which is no later than the client's.
// AttemptEvents::may_send() does not permit an attempt with less than kMinAttemptTime left, so the
// value is never 0.
inline std::chrono::milliseconds remaining_deadline(const Attempt& attempt, Time now) {
  return std::chrono::floor<std::chrono::milliseconds>(attempt.deadline - now);
}

}  // namespace balancer

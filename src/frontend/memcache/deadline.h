#pragma once

#include <chrono>

#include "net/attempt.h"

namespace balancer {

// What an attempt that is written at `now` tells its server as `d`: how long the balancer will wait
// for the answer, in whole milliseconds rounded down. Never more than is left of the attempt's
// time, which ends with the client's at the latest. AttemptEvents::may_send() lets no attempt out
// with less than kMinAttemptTime left, so that 0 is never told.
inline std::chrono::milliseconds remaining_deadline(const Attempt& attempt, Time now) {
  return std::chrono::floor<std::chrono::milliseconds>(attempt.deadline - now);
}

}  // namespace balancer

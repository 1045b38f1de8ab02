#pragma once

#include "structures/time.h"

namespace balancer::node {

// The longest deadline that the platform's clients have.
inline constexpr Duration kMaxDeadline = std::chrono::seconds(3);

// The times of a drain, all of which follow from the time of the signal: SIGKILL comes at the
// earliest 700 ms after the longest deadline from there, whatever the process does meanwhile.
struct DrainTimes {
  Time signalled_at;   // SIGTERM was received
  Time accepts_until;  // listeners that are always open stop accepting
  Time first_close;    // connections are closed between requests from here on
  Time last_close;     // no connection accepts a request later, no listener a connection
  Time fail_at;        // requests without an answer fail
  Time exit_at;        // the process exits at the latest
};

// `longest_deadline`: of the requests that the process serves, at most kMaxDeadline.
DrainTimes drain_times(Time signalled_at, Duration longest_deadline);

// A drain closes the last connection this long before its end, so that a request just read from the
// connection can still be answered.
inline constexpr Duration kLastRequestTime = std::chrono::milliseconds(200);

}  // namespace balancer::node

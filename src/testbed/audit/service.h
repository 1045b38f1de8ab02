#pragma once

#include <optional>
#include <vector>

#include "testbed/audit/counters.h"

namespace balancer::testbed {

// Effect of an incident on service, from the share of the requested worth that was served in each
// second; requests count in the second in which they were due.
struct Service {
  double before = 0;      // mean of up to 10 seconds before the incident, after the warm-up
  double worst = 0;       // lowest second from the incident on
  double first_five = 0;  // mean of the first five seconds of the incident
  double area = 0;        // lost service, in seconds of service at the level of `before`
  // Seconds until full service: within 0.03 of `before` for 3 s, and not more than 0.10 below it in
  // the 15 s after these. None if that is not reached within the run, or the run ends less than 3 s
  // later.
  std::optional<int> full_after;
};

// Returns the served share of the requested worth by second. A second without requests repeats the
// value of the second before.
std::vector<double> worth_by_second(const std::vector<Tally::Second>& seconds);

// Computes the figures of an incident at `at`. `at` and `end` are seconds of the run; `end` is
// exclusive.
Service service_after(const std::vector<double>& worth, int warm_up, int at, int end);

// Returns the difference between the highest and the lowest mean over 3 s, in the seconds from
// `from` up to `to`.
double swing(const std::vector<double>& worth, int from, int to);

}  // namespace balancer::testbed

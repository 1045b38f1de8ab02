#pragma once

#include <optional>
#include <vector>

#include "testbed/audit/counters.h"

namespace balancer::testbed {

// What a trouble cost, by the worth served of that asked for in each second, by when it was due.
struct Service {
  double before = 0;      // mean of the seconds before it, 10 at most, behind the warm-up
  double worst = 0;       // least of any second from then on
  double first_five = 0;  // mean of the first five
  double area = 0;        // seconds of full service that were lost, in parts of `before`
  // Seconds until full service: within 0.03 of `before` for 3 s, and no lower than 0.10 below it in
  // the 15 s behind. None if it does not come within the run, or the run ends sooner than 3 s after
  // it.
  std::optional<int> full_after;
};

// By second; a second in which nothing was asked for repeats the one before.
std::vector<double> worth_by_second(const std::vector<Tally::Second>& seconds);

// `at` and `end` in seconds of the run; those from `end` on are left out.
Service service_after(const std::vector<double>& worth, int warm_up, int at, int end);

// Peak to peak of the means over 3 s, over the seconds from `from` up to `to`.
double swing(const std::vector<double>& worth, int from, int to);

}  // namespace balancer::testbed

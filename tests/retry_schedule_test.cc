#include "recovery/retry_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;

TEST(RetryScheduleTest, ReturnsDelaysWithinItsBounds) {
  RetrySchedule schedule(milliseconds(250), milliseconds(750));
  EXPECT_EQ(schedule.mean(), milliseconds(500));
  EXPECT_EQ(schedule.after_failure(0, 0), Duration{0});
  EXPECT_EQ(schedule.after_failure(0, 0.9), milliseconds(250)) << "a second failure in a row";
  EXPECT_EQ(schedule.after_failure(0.5, 0), milliseconds(500));
  schedule.on_success();
  // The longest interval, at its end.
  EXPECT_NEAR(seconds(schedule.after_failure(1, 1)), 0.75, 1e-9);
}

// Returns the times, up to `end`, of the calls of `n` instances that all fail at time 0.
// `full_first_interval`: the first delay is a full interval instead of a residual one.
std::vector<double> calls(int n, double end, std::mt19937_64& random, bool full_first_interval) {
  std::uniform_real_distribution<double> chance(0, 1);
  std::vector<double> all;
  for (int i = 0; i < n; ++i) {
    RetrySchedule schedule(milliseconds(250), milliseconds(750));
    if (full_first_interval) schedule.after_failure(0, 0);  // consumes the residual first delay
    for (double t = 0; t < end;) {
      const double a = chance(random), b = chance(random);
      t += seconds(schedule.after_failure(a, b));
      all.push_back(t);
    }
  }
  std::sort(all.begin(), all.end());
  return all;
}

// Returns the maximum number of calls in any window of `window` seconds.
int max_in_window(const std::vector<double>& sorted, double window) {
  int best = 0;
  for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
    while (sorted[last] - sorted[first] > window) ++first;
    best = std::max(best, static_cast<int>(last - first + 1));
  }
  return best;
}

// The fleet as a whole must make n / 0.5 calls per second from the first instant on, evenly in
// every tenth of a second.
TEST(RetryScheduleTest, SpreadsRetriesEvenlyIfAFleetFailsAtOnce) {
  for (int seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    for (const int n : {12, 300, 3000}) {
      const auto all = calls(n, 5, random, false);
      const double mean = n * 0.1 / 0.5;  // per tenth of a second
      // 6 standard deviations of a Poisson distribution, which is at least as wide as that of the
      // sum.
      EXPECT_LE(max_in_window(all, 0.1), mean + 6 * std::sqrt(mean) + 3) << n;
      const auto in_tenth = [&all](double from) {
        return static_cast<double>(std::upper_bound(all.begin(), all.end(), from + 0.1) -
                                   std::lower_bound(all.begin(), all.end(), from));
      };
      if (n == 3000) {
        for (double from = 0; from < 4; from += 0.1) EXPECT_NEAR(in_tenth(from), mean, 150) << from;
      }
    }
  }
}

// Shows why the first delay is a residual interval: with full intervals from the start no instance
// calls for 0.25 s, and then the call rate exceeds the average by half.
TEST(RetryScheduleTest, RetriesInAWaveIfTheFirstDelayIsAFullInterval) {
  std::mt19937_64 random(1);
  const auto all = calls(3000, 5, random, true);
  EXPECT_GT(all.front(), 0.24);
  EXPECT_GT(max_in_window(all, 0.1), 590);
}

}  // namespace
}  // namespace balancer::recovery

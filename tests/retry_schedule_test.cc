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

TEST(RetryScheduleTest, WaitsWithinItsBounds) {
  RetrySchedule pace(milliseconds(250), milliseconds(750));
  EXPECT_EQ(pace.mean(), milliseconds(500));
  EXPECT_EQ(pace.after_failure(0, 0), Duration{0});
  EXPECT_EQ(pace.after_failure(0, 0.9), milliseconds(250)) << "a second failure in a row";
  EXPECT_EQ(pace.after_failure(0.5, 0), milliseconds(500));
  pace.on_success();
  // The longest interval, at its end.
  EXPECT_NEAR(seconds(pace.after_failure(1, 1)), 0.75, 1e-9);
}

// Times at which `n` instances call that all fail at 0, up to `end`.
std::vector<double> calls(int n, double end, std::mt19937_64& random, bool by_chance_alone) {
  std::uniform_real_distribution<double> chance(0, 1);
  std::vector<double> all;
  for (int i = 0; i < n; ++i) {
    RetrySchedule pace(milliseconds(250), milliseconds(750));
    if (by_chance_alone) pace.after_failure(0, 0);  // no first wait of its own
    for (double t = 0; t < end;) {
      const double a = chance(random), b = chance(random);
      t += seconds(pace.after_failure(a, b));
      all.push_back(t);
    }
  }
  std::sort(all.begin(), all.end());
  return all;
}

// The most in any window of so many seconds.
int most(const std::vector<double>& sorted, double window) {
  int best = 0;
  for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
    while (sorted[last] - sorted[first] > window) ++first;
    best = std::max(best, static_cast<int>(last - first + 1));
  }
  return best;
}

// The sum over the fleet: from the first instant on n / 0.5 s, in any tenth of a second alike.
TEST(RetryScheduleTest, SpreadsRetriesEvenlyWhereAFleetFailsInStep) {
  for (int seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    for (const int n : {12, 300, 3000}) {
      const auto all = calls(n, 5, random, false);
      const double mean = n * 0.1 / 0.5;  // in a tenth
      // 6 standard deviations of a Poisson count, of which the sum is no wider.
      EXPECT_LE(most(all, 0.1), mean + 6 * std::sqrt(mean) + 3) << n;
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

// What it is for: with the same intervals from the first one on nobody calls for 0.25 s, and then
// half as many again as on average come at once.
TEST(RetryScheduleTest, WouldRetryInAWaveWithIntervalsFromTheFirstOneOn) {
  std::mt19937_64 random(1);
  const auto all = calls(3000, 5, random, true);
  EXPECT_GT(all.front(), 0.24);
  EXPECT_GT(most(all, 0.1), 590);
}

}  // namespace
}  // namespace balancer::recovery

#include "policy/slow_start.h"

#include <gtest/gtest.h>

namespace balancer {
namespace {

using std::chrono::seconds;

TEST(SlowStartTest, LimitsWorkToTheWeightTimesTheNormalRate) {
  const SlowStartRule rule{0.2, seconds(10)};
  const double normal = 0.5;  // seconds of work per second
  SlowStart start;
  start.on_start(seconds(100), 0.9);
  double sent = 0;
  for (int ms = 0; ms < 2000; ++ms) {
    const Time now = seconds(100) + std::chrono::milliseconds(ms);
    if (!start.has_budget(now, rule, 0.04, normal)) continue;
    start.spend(0.04);
    sent += 0.04;
  }
  EXPECT_GT(sent, 0.2 * normal);
  EXPECT_LT(sent, 0.36 * normal * 2 + 0.04);
  EXPECT_DOUBLE_EQ(start.weight(seconds(111), rule), 1);
}

TEST(SlowStartTest, HasFullWeightWithoutAStartTimeAndAWeightByAgeWithOne) {
  const SlowStartRule rule{0.2, seconds(10)};
  SlowStart start;
  EXPECT_DOUBLE_EQ(start.weight(seconds(1), rule), 1);
  start.on_start(seconds(100), 0);
  EXPECT_DOUBLE_EQ(start.weight(seconds(100), rule), 0.2);
  EXPECT_DOUBLE_EQ(start.weight(seconds(105), rule), 0.6);
  start.on_earlier_start(seconds(95));
  EXPECT_DOUBLE_EQ(start.weight(seconds(100), rule), 0.6);
  start.on_earlier_start(seconds(99));
  EXPECT_DOUBLE_EQ(start.weight(seconds(100), rule), 0.6)
      << "a later start does not change the weight";
}

}  // namespace
}  // namespace balancer

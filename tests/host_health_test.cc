#include "policy/host_health.h"

#include <gtest/gtest.h>

namespace balancer {
namespace {

using std::chrono::seconds;

TEST(HostHealth, EjectsAfterAFailureLongerEachTimeAndForgivesOnSuccess) {
  HostHealth h;
  const Time t = seconds(100);
  EXPECT_FALSE(h.ejected(t));
  h.on_failure(t, 0.5);
  EXPECT_TRUE(h.ejected(t + from_seconds(0.9)));
  EXPECT_FALSE(h.ejected(t + from_seconds(1.1)));
  h.on_failure(t + seconds(2), 0.5);
  EXPECT_TRUE(h.ejected(t + from_seconds(3.9)));
  EXPECT_FALSE(h.ejected(t + from_seconds(4.1)));
  h.on_success();
  h.on_failure(t + seconds(10), 0.5);
  EXPECT_FALSE(h.ejected(t + from_seconds(11.1)));
}

TEST(HostHealth, ErrorsInARowEjectAndOneGoodAnswerBreaksTheRow) {
  HostHealth h;
  const Time t = seconds(100);
  for (int i = 0; i < 20; ++i) {
    h.on_error(t, 0.5);
    EXPECT_FALSE(h.ejected(t));
    h.on_success();
  }
  for (int i = 0; i < 3; ++i) h.on_error(t, 0.5);
  EXPECT_TRUE(h.ejected(t + from_seconds(0.9)));
}

TEST(HostHealth, AColdHostGetsAtMostItsShareOverAnyWindow) {
  const ColdRule rule{0.2, seconds(10)};
  const double normal = 0.5;  // seconds of work a second
  HostHealth h;
  h.on_start(seconds(100), 0.9);
  double sent = 0;
  for (int ms = 0; ms < 2000; ++ms) {
    const Time now = seconds(100) + std::chrono::milliseconds(ms);
    if (!h.may_take(now, rule, 0.04, normal)) continue;
    h.take(0.04);
    sent += 0.04;
  }
  EXPECT_GT(sent, 0.2 * normal);
  EXPECT_LT(sent, 0.36 * normal * 2 + 0.04);
  EXPECT_DOUBLE_EQ(h.warmth(seconds(111), rule), 1);
}

}  // namespace
}  // namespace balancer

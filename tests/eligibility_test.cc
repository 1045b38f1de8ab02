#include "lease/eligibility.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Condition = Eligibility::Condition;

TEST(EligibilityTest, IsEligibleAtOnceAndOverShortGaps) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(10);
  EXPECT_TRUE(a.eligible(now));
  a.on_condition(now, Condition::kRoutersConnected, false);
  EXPECT_TRUE(a.eligible(now + milliseconds(299)));
  EXPECT_EQ(a.next(), now + milliseconds(300));
  EXPECT_FALSE(a.eligible(now + milliseconds(300)));
  EXPECT_NE(a.reason().find("routers"), std::string::npos);
}

TEST(EligibilityTest, IsNotEligibleAsSoonAsTheListenerCloses) {
  Eligibility a{EligibilitySettings{}};
  EXPECT_TRUE(a.eligible(seconds(1)));
  a.on_condition(seconds(1), Condition::kListenerOpen, false);
  EXPECT_FALSE(a.eligible(seconds(1)));
}

TEST(EligibilityTest, WaitsLongerAfterEachRelapse) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(1);
  EXPECT_TRUE(a.eligible(now));
  Duration last{0};
  for (int i = 0; i < 7; ++i) {
    a.on_condition(now, Condition::kListenerOpen, false);
    EXPECT_FALSE(a.eligible(now));
    a.on_condition(now, Condition::kListenerOpen, true);
    const Time from = now;
    while (!a.eligible(now)) {
      ASSERT_GT(a.next(), now);
      now = a.next();
    }
    EXPECT_GE(now - from, last);
    EXPECT_LE(now - from, milliseconds(500) * 16);
    if (i < 4) {
      EXPECT_EQ(now - from, milliseconds(500) * (1 << i));
    }
    last = now - from;
  }
  // After a quiet minute it is like new.
  now += seconds(90);
  EXPECT_TRUE(a.eligible(now));
  a.on_condition(now, Condition::kListenerOpen, false);
  EXPECT_FALSE(a.eligible(now));
  a.on_condition(now, Condition::kListenerOpen, true);
  EXPECT_FALSE(a.eligible(now));
  EXPECT_TRUE(a.eligible(now + milliseconds(500)));
}

TEST(EligibilityTest, IsNotEligibleWhileTheEventLoopIsLate) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(1);
  for (int i = 0; i < 2; ++i) a.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_TRUE(a.eligible(now)) << "twice is chance";
  a.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_FALSE(a.eligible(now));
  EXPECT_NE(a.reason().find("late"), std::string::npos);
  const Time then = now;
  while (!a.eligible(now) && now < then + seconds(20))
    now = std::max(now + milliseconds(1), a.next());
  EXPECT_GE(now - then, seconds(2));
  EXPECT_LE(now - then, seconds(5));
}

// Not eligible where a condition has been unmet for longer than its grace; eligible within the
// stated times where all are met; next() never misses a change.
TEST(EligibilityTest, KeepsItsBoundsUnderRandomReports) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const EligibilitySettings s;
    Eligibility a{s};
    Time now = seconds(1);
    bool there[Eligibility::kConditions] = {true, true, true, true};
    Time since[Eligibility::kConditions] = {};
    Time quiet_since = now;
    for (int i = 0; i < 200; ++i) {
      const Time until = now + milliseconds(random() % 1500);
      // Whatever changes by itself changes when it said.
      while (true) {
        const bool before = a.eligible(now);
        const Time next = a.next();
        const Time step = std::min(until, std::max(next, now + milliseconds(1)));
        if (step - now > milliseconds(2)) {
          ASSERT_EQ(a.eligible(step - milliseconds(1)), before) << "it changed ahead of next()";
        }
        now = step;
        if (now >= until) break;
      }
      const auto part = random() % Eligibility::kConditions;
      if (random() % 6 == 0) {
        a.on_lateness(now, milliseconds(random() % 400));
      } else {
        const bool good = random() % 3 > 0;
        if (there[part] != good) since[part] = now;
        there[part] = good;
        a.on_condition(now, static_cast<Condition>(part), good);
      }
      const bool eligible = a.eligible(now);
      bool missing = false;
      for (std::size_t p = 0; p < Eligibility::kConditions; ++p) {
        const bool waits = p == 0 || p == 2;
        missing = missing || (!there[p] && (!waits || now - since[p] >= s.grace));
      }
      if (missing) {
        EXPECT_FALSE(eligible);
        EXPECT_FALSE(a.reason().empty());
        quiet_since = now;
      }
    }
    for (std::size_t p = 0; p < Eligibility::kConditions; ++p)
      a.on_condition(now, static_cast<Condition>(p), true);
    EXPECT_TRUE(a.eligible(now) || [&] {
      const Time end = now + s.late_window + s.steady * 16 + milliseconds(10);
      while (now < end && !a.eligible(now)) now = std::max(now + milliseconds(1), a.next());
      return a.eligible(now);
    }());
  }
}

}  // namespace

}  // namespace balancer::lease

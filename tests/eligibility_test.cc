#include "lease/eligibility.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Condition = Eligibility::Condition;

TEST(EligibilityTest, IsEligibleAtStartAndDuringTheGracePeriod) {
  Eligibility eligibility{EligibilitySettings{}};
  Time now = seconds(10);
  EXPECT_TRUE(eligibility.eligible(now));
  eligibility.on_condition(now, Condition::kRoutersConnected, false);
  EXPECT_TRUE(eligibility.eligible(now + milliseconds(299)));
  EXPECT_EQ(eligibility.next_timer_at(), now + milliseconds(300));
  EXPECT_FALSE(eligibility.eligible(now + milliseconds(300)));
  EXPECT_NE(eligibility.reason().find("routers"), std::string::npos);
}

TEST(EligibilityTest, BecomesIneligibleImmediatelyWhenTheListenerCloses) {
  Eligibility eligibility{EligibilitySettings{}};
  EXPECT_TRUE(eligibility.eligible(seconds(1)));
  eligibility.on_condition(seconds(1), Condition::kListenerOpen, false);
  EXPECT_FALSE(eligibility.eligible(seconds(1)));
}

TEST(EligibilityTest, LengthensTheRecoveryTimeAfterEachRelapse) {
  Eligibility eligibility{EligibilitySettings{}};
  Time now = seconds(1);
  EXPECT_TRUE(eligibility.eligible(now));
  Duration last_recovery{0};
  for (int i = 0; i < 7; ++i) {
    eligibility.on_condition(now, Condition::kListenerOpen, false);
    EXPECT_FALSE(eligibility.eligible(now));
    eligibility.on_condition(now, Condition::kListenerOpen, true);
    const Time recovery_start = now;
    while (!eligibility.eligible(now)) {
      ASSERT_GT(eligibility.next_timer_at(), now);
      now = eligibility.next_timer_at();
    }
    EXPECT_GE(now - recovery_start, last_recovery);
    EXPECT_LE(now - recovery_start, milliseconds(500) * 16);
    if (i < 4) {
      EXPECT_EQ(now - recovery_start, milliseconds(500) * (1 << i));
    }
    last_recovery = now - recovery_start;
  }
  // After a minute without a relapse, the recovery time is short again.
  now += seconds(90);
  EXPECT_TRUE(eligibility.eligible(now));
  eligibility.on_condition(now, Condition::kListenerOpen, false);
  EXPECT_FALSE(eligibility.eligible(now));
  eligibility.on_condition(now, Condition::kListenerOpen, true);
  EXPECT_FALSE(eligibility.eligible(now));
  EXPECT_TRUE(eligibility.eligible(now + milliseconds(500)));
}

TEST(EligibilityTest, IsIneligibleWhileTheEventLoopIsLate) {
  Eligibility eligibility{EligibilitySettings{}};
  Time now = seconds(1);
  for (int i = 0; i < 2; ++i) eligibility.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_TRUE(eligibility.eligible(now)) << "two late checks are below the threshold";
  eligibility.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_FALSE(eligibility.eligible(now));
  EXPECT_NE(eligibility.reason().find("late"), std::string::npos);
  const Time ineligible_since = now;
  while (!eligibility.eligible(now) && now < ineligible_since + seconds(20))
    now = std::max(now + milliseconds(1), eligibility.next_timer_at());
  EXPECT_GE(now - ineligible_since, seconds(2));
  EXPECT_LE(now - ineligible_since, seconds(5));
}

// The instance is ineligible if a condition has been unmet for longer than its grace period, and
// eligible within the documented times if all conditions are met. next_timer_at() never misses a
// change.
TEST(EligibilityTest, KeepsItsTimeBoundsUnderRandomReports) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const EligibilitySettings s;
    Eligibility eligibility{s};
    Time now = seconds(1);
    bool met[Eligibility::kConditions] = {true, true, true, true};
    Time since[Eligibility::kConditions] = {};
    Time last_unmet_at = now;
    for (int i = 0; i < 200; ++i) {
      const Time until = now + milliseconds(random() % 1500);
      // Changes without a report happen no earlier than next_timer_at() has returned.
      while (true) {
        const bool before = eligibility.eligible(now);
        const Time next = eligibility.next_timer_at();
        const Time step = std::min(until, std::max(next, now + milliseconds(1)));
        if (step - now > milliseconds(2)) {
          ASSERT_EQ(eligibility.eligible(step - milliseconds(1)), before)
              << "eligibility changed before next()";
        }
        now = step;
        if (now >= until) break;
      }
      const auto condition = random() % Eligibility::kConditions;
      if (random() % 6 == 0) {
        eligibility.on_lateness(now, milliseconds(random() % 400));
      } else {
        const bool is_met = random() % 3 > 0;
        if (met[condition] != is_met) since[condition] = now;
        met[condition] = is_met;
        eligibility.on_condition(now, static_cast<Condition>(condition), is_met);
      }
      const bool eligible = eligibility.eligible(now);
      bool unmet = false;
      for (std::size_t p = 0; p < Eligibility::kConditions; ++p) {
        const bool has_grace = p == 0 || p == 2;
        unmet = unmet || (!met[p] && (!has_grace || now - since[p] >= s.grace_period));
      }
      if (unmet) {
        EXPECT_FALSE(eligible);
        EXPECT_FALSE(eligibility.reason().empty());
        last_unmet_at = now;
      }
    }
    for (std::size_t p = 0; p < Eligibility::kConditions; ++p)
      eligibility.on_condition(now, static_cast<Condition>(p), true);
    EXPECT_TRUE(eligibility.eligible(now) || [&] {
      const Time end = now + s.late_window + s.recovery_time * 16 + milliseconds(10);
      while (now < end && !eligibility.eligible(now))
        now = std::max(now + milliseconds(1), eligibility.next_timer_at());
      return eligibility.eligible(now);
    }());
  }
}

}  // namespace

}  // namespace balancer::lease

#include "recovery/stall_guard.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Stage = StallGuard::Stage;

TEST(StallGuardTest, HoldsAfterAGapUntilACallMadeSinceIsAnswered) {
  StallGuard s(seconds(1));
  EXPECT_FALSE(s.observe(milliseconds(1999)));
  EXPECT_EQ(s.stage(), Stage::kFresh);
  EXPECT_TRUE(s.observe(seconds(9)));
  EXPECT_FALSE(s.observe(seconds(9))) << "one standstill is one";
  EXPECT_TRUE(s.is_holding());
  EXPECT_EQ(s.last_stall(), milliseconds(7001));
  // Asked for before, answered behind: may have lain there all the time.
  EXPECT_FALSE(s.on_discovery_answer(milliseconds(1900)));
  EXPECT_TRUE(s.is_holding());
  EXPECT_TRUE(s.on_discovery_answer(milliseconds(9002)));
  EXPECT_EQ(s.stage(), Stage::kFresh);
  EXPECT_FALSE(s.on_discovery_answer(milliseconds(9003))) << "nothing was held";
  EXPECT_FALSE(s.on_hold_expired(seconds(10)));
}

TEST(StallGuardTest, IsStaleWhereNoAnswerComesAndFreshWithTheNextOne) {
  StallGuard s(seconds(1));
  ASSERT_TRUE(s.observe(seconds(5)));
  EXPECT_EQ(s.hold_until(), milliseconds(5250));
  EXPECT_FALSE(s.on_hold_expired(milliseconds(5249)));
  EXPECT_TRUE(s.on_hold_expired(milliseconds(5250)));
  EXPECT_EQ(s.stage(), Stage::kStale);
  EXPECT_FALSE(s.is_holding());
  EXPECT_FALSE(s.on_discovery_answer(milliseconds(5700)));
  EXPECT_EQ(s.stage(), Stage::kFresh);
}

TEST(StallGuardTest, TakesRequestsReadShortlyAfterAStallForAsOldAsTheStall) {
  StallGuard s(seconds(1));
  s.observe(milliseconds(1800));
  EXPECT_EQ(s.unnoticed_age(milliseconds(1801)), Duration{0});
  s.observe(seconds(5));
  EXPECT_EQ(s.unnoticed_age(seconds(5)), milliseconds(3200));
  s.on_discovery_answer(milliseconds(5001));
  EXPECT_EQ(s.unnoticed_age(milliseconds(5049)), milliseconds(3200))
      << "sure of the list, not of them";
  EXPECT_EQ(s.unnoticed_age(milliseconds(5050)), Duration{0});
}

// One that runs for 100 ms in every 2 s holds for three of its turns and not for ever.
TEST(StallGuardTest, DoesNotHoldForeverWhereTheProcessRunsForMomentsOnly) {
  StallGuard s(Time{0});
  int held = 0;
  for (int turn = 1; turn <= 10; ++turn) {
    const Time woken = seconds(2 * turn);
    s.observe(woken);
    const Time end = woken + milliseconds(100);
    s.on_hold_expired(std::min(end, s.hold_until()));
    held += s.is_holding();
    s.observe(end);
    if (s.is_holding()) continue;
    EXPECT_EQ(turn, 3);
    break;
  }
  EXPECT_EQ(held, 2);
}

// Whatever comes in whatever order: it holds only after a gap, never for longer than the bound of
// the time in which it runs, and no word from before its last standstill makes it sure.
TEST(StallGuardTest, KeepsItsBoundsUnderRandomObservationsAnswersAndGaps) {
  for (int seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto below = [&random](int n) { return static_cast<int>(random() % n); };
    const StallGuard::Bounds bounds;
    Time now = seconds(1), looked = now, woken{0};
    StallGuard s(now, bounds);
    Duration held_running{0};
    bool sure = true;
    for (int i = 0; i < 400; ++i) {
      const Duration step =
          below(20) == 0 ? milliseconds(1000 + below(9000)) : milliseconds(below(120));
      const bool was_held = s.is_holding();
      if (was_held && step < bounds.stall_threshold) held_running += step;
      now += step;
      const bool still = now - looked >= bounds.stall_threshold;
      looked = now;
      if (still) {
        sure = false;
        woken = now;
        if (!was_held) held_running = Duration{0};
      }
      switch (below(3)) {
        case 0:
          EXPECT_EQ(s.observe(now), still);
          break;
        case 1: {
          const Time asked = now - milliseconds(below(200));
          EXPECT_EQ(s.observe(now), still);
          s.on_discovery_answer(asked);
          sure = sure || asked >= woken;
          break;
        }
        default:
          EXPECT_EQ(s.observe(now), still);
      }
      // The timer comes when it is due, or late where the process stood still.
      s.on_hold_expired(now);
      EXPECT_EQ(s.stage() == Stage::kFresh, sure);
      if (s.is_holding()) {
        EXPECT_LE(held_running, bounds.max_hold + milliseconds(120));
      }
    }
    EXPECT_GT(s.stalls(), 0);
  }
}

}  // namespace
}  // namespace balancer::recovery

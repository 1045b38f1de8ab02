#include "recovery/stall_guard.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Stage = StallGuard::Stage;

TEST(StallGuardTest, HoldsAfterAStallUntilALaterCallIsAnswered) {
  StallGuard s(seconds(1));
  EXPECT_FALSE(s.observe(milliseconds(1999)));
  EXPECT_EQ(s.stage(), Stage::kFresh);
  EXPECT_TRUE(s.observe(seconds(9)));
  EXPECT_FALSE(s.observe(seconds(9))) << "a stall is reported once";
  EXPECT_TRUE(s.is_holding());
  EXPECT_EQ(s.last_stall(), milliseconds(7001));
  // The answer to a call from before the stall may have been received before it as well.
  EXPECT_FALSE(s.on_discovery_answer(milliseconds(1900)));
  EXPECT_TRUE(s.is_holding());
  EXPECT_TRUE(s.on_discovery_answer(milliseconds(9002)));
  EXPECT_EQ(s.stage(), Stage::kFresh);
  EXPECT_FALSE(s.on_discovery_answer(milliseconds(9003))) << "nothing was held";
  EXPECT_FALSE(s.on_hold_expired(seconds(10)));
}

TEST(StallGuardTest, BecomesStaleWithoutAnAnswerAndFreshWithTheNextOne) {
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

TEST(StallGuardTest, ReportsTheStallsLengthAsTheAgeOfRequestsReadShortlyAfterIt) {
  StallGuard s(seconds(1));
  s.observe(milliseconds(1800));
  EXPECT_EQ(s.unnoticed_age(milliseconds(1801)), Duration{0});
  s.observe(seconds(5));
  EXPECT_EQ(s.unnoticed_age(seconds(5)), milliseconds(3200));
  s.on_discovery_answer(milliseconds(5001));
  EXPECT_EQ(s.unnoticed_age(milliseconds(5049)), milliseconds(3200))
      << "the list is fresh, but the requests may still be old";
  EXPECT_EQ(s.unnoticed_age(milliseconds(5050)), Duration{0});
}

// A process that runs for 100 ms in every 2 s must stop holding in its third turn, and not hold
// forever.
TEST(StallGuardTest, LimitsTheHoldOfAProcessThatRunsOnlyForShortMoments) {
  StallGuard s(Time{0});
  int turns_held = 0;
  for (int turn = 1; turn <= 10; ++turn) {
    const Time resumed_at = seconds(2 * turn);
    s.observe(resumed_at);
    const Time end = resumed_at + milliseconds(100);
    s.on_hold_expired(std::min(end, s.hold_until()));
    turns_held += s.is_holding();
    s.observe(end);
    if (s.is_holding()) continue;
    EXPECT_EQ(turn, 3);
    break;
  }
  EXPECT_EQ(turns_held, 2);
}

// Under random sequences of events the guard holds only after a stall, never for longer than
// max_hold of running time, and an answer to a call from before the last stall does not make it
// fresh.
TEST(StallGuardTest, KeepsItsBoundsUnderRandomObservationsAnswersAndStalls) {
  for (int seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto below = [&random](int n) { return static_cast<int>(random() % n); };
    const StallGuard::Bounds bounds;
    Time now = seconds(1), last_observation = now, resumed_at{0};
    StallGuard s(now, bounds);
    Duration held_running_time{0};
    bool fresh = true;
    for (int i = 0; i < 400; ++i) {
      const Duration step =
          below(20) == 0 ? milliseconds(1000 + below(9000)) : milliseconds(below(120));
      const bool was_holding = s.is_holding();
      if (was_holding && step < bounds.stall_threshold) held_running_time += step;
      now += step;
      const bool is_stall = now - last_observation >= bounds.stall_threshold;
      last_observation = now;
      if (is_stall) {
        fresh = false;
        resumed_at = now;
        if (!was_holding) held_running_time = Duration{0};
      }
      switch (below(3)) {
        case 0:
          EXPECT_EQ(s.observe(now), is_stall);
          break;
        case 1: {
          const Time called_at = now - milliseconds(below(200));
          EXPECT_EQ(s.observe(now), is_stall);
          s.on_discovery_answer(called_at);
          fresh = fresh || called_at >= resumed_at;
          break;
        }
        default:
          EXPECT_EQ(s.observe(now), is_stall);
      }
      // The timer fires when it is due, or late if the process was stalled.
      s.on_hold_expired(now);
      EXPECT_EQ(s.stage() == Stage::kFresh, fresh);
      if (s.is_holding()) {
        EXPECT_LE(held_running_time, bounds.max_hold + milliseconds(120));
      }
    }
    EXPECT_GT(s.stalls(), 0);
  }
}

}  // namespace
}  // namespace balancer::recovery

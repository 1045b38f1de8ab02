#include "dispatch/timing_wheel.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr Duration kTick = milliseconds(1);

TEST(TimingWheelTest, FiresEachTimerWithinATickAndNoneEarly) {
  TimingWheel<int> wheel(Time(12'345'678), kTick);
  wheel.set(Time(12'345'679), 1);
  wheel.set(Time(13'000'000), 2);
  wheel.set(Time(13'000'001), 3);
  wheel.set(Time(0), 4);  // in the past
  std::vector<int> due;
  const auto take = [&](int v) { due.push_back(v); };
  wheel.advance(Time(12'999'999), take);
  EXPECT_TRUE(due.empty());
  wheel.advance(Time(13'000'000), take);
  std::sort(due.begin(), due.end());
  EXPECT_EQ(due, (std::vector<int>{1, 2, 4}));
  wheel.advance(Time(14'000'000), take);
  EXPECT_EQ(due.back(), 3);
  EXPECT_EQ(wheel.size(), 0u);
  EXPECT_FALSE(wheel.next());
}

TEST(TimingWheelTest, IgnoresHandlesOfFiredAndCancelledTimers) {
  TimingWheel<int> wheel(Time(0), kTick);
  const auto first = wheel.set(milliseconds(5), 1);
  EXPECT_EQ(wheel.cancel(first), 1);
  const auto second = wheel.set(milliseconds(5), 2);  // reuses the node of the first
  EXPECT_FALSE(wheel.cancel(first));
  int due = 0;
  wheel.advance(milliseconds(5), [&](int v) { due = v; });
  EXPECT_EQ(due, 2);
  EXPECT_FALSE(wheel.cancel(second));
  EXPECT_FALSE(wheel.cancel({}));
}

TEST(TimingWheelTest, AllowsCancelAndSetFromInsideAFiringTimer) {
  TimingWheel<int> wheel(Time(0), kTick);
  std::vector<TimingWheel<int>::Handle> handles;
  for (int i = 0; i < 10; ++i) handles.push_back(wheel.set(milliseconds(3), i));
  int fired = 0, later = 0;
  wheel.advance(milliseconds(3), [&](int) {
    ++fired;
    for (const auto h : handles) wheel.cancel(h);
    wheel.set(milliseconds(3), 99);  // due already: fires at the next tick, not again in this call
  });
  EXPECT_EQ(fired, 1);
  wheel.advance(milliseconds(4), [&](int v) { later = v; });
  EXPECT_EQ(later, 99);
}

// Compares the wheel with an ordered map: due times from a tick to 13 days ahead, about half of the
// timers cancelled, and steps of any length.
class RandomTimingWheelTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(RandomTimingWheelTest, FiresLikeAnOrderedMapOverRandomEvents) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  Time now(static_cast<Time::rep>(below(1'000'000'000'000)));
  TimingWheel<std::uint64_t> wheel(now, kTick);
  struct Pending {
    Time due;
    TimingWheel<std::uint64_t>::Handle handle;
  };
  std::map<std::uint64_t, Pending> pending;
  std::uint64_t next = 1;
  for (int round = 0; round < 3000; ++round) {
    for (auto n = below(4); n > 0; --n) {
      const auto span = std::uint64_t{1} << below(50);  // up to 13 days
      const Time due = now + nanoseconds(static_cast<std::int64_t>(below(span)));
      pending[next] = {due, wheel.set(due, next)};
      ++next;
    }
    if (!pending.empty() && below(2) == 0) {
      const auto it = std::next(pending.begin(), static_cast<int>(below(pending.size())));
      ASSERT_EQ(wheel.cancel(it->second.handle), it->first);
      pending.erase(it);
    }
    now += nanoseconds(static_cast<std::int64_t>(below(std::uint64_t{1} << below(42))));
    if (const auto at = wheel.next(); at && below(4) == 0) now = std::max(now, *at);
    wheel.advance(now, [&](std::uint64_t v) {
      const auto it = pending.find(v);
      ASSERT_NE(it, pending.end()) << "fired twice or after it was cancelled";
      ASSERT_LE(it->second.due, now) << "fired early";
      pending.erase(it);
    });
    for (const auto& [v, p] : pending) ASSERT_GT(p.due + kTick, now) << "fired late";
    ASSERT_EQ(wheel.size(), pending.size());
    if (pending.empty()) {
      ASSERT_FALSE(wheel.next());
    } else {
      ASSERT_TRUE(wheel.next());
      ASSERT_GT(*wheel.next(), now - kTick);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomTimingWheelTest, ::testing::Range(1u, 9u));

}  // namespace
}  // namespace balancer

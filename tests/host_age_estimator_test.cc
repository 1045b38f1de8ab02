// Tests the estimated age of cache hosts on the monotonic clock.
#include "recovery/host_age_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace balancer::recovery {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

// The true Unix time at which this process's monotonic clock is zero.
const UnixTime kOrigin{hours(24 * 365 * 56)};

UnixTime unix_at(Time t) { return kOrigin + t; }

struct WallClock {
  const char* name;
  Duration error;
};

class HostAgeEstimatorClockTest : public ::testing::TestWithParam<WallClock> {
 protected:
  HostAgeEstimator ages{kOrigin.time_since_epoch() + GetParam().error};
};
INSTANTIATE_TEST_SUITE_P(WallClocks, HostAgeEstimatorClockTest,
                         ::testing::Values(WallClock{"Right", hours(0)},
                                           WallClock{"AnHourAhead", hours(1)},
                                           WallClock{"AnHourBehind", hours(-1)},
                                           WallClock{"SecondsAhead", seconds(3)},
                                           WallClock{"SecondsBehind", seconds(-3)},
                                           WallClock{"AtTheEpoch", -kOrigin.time_since_epoch()}),
                         [](const auto& i) { return i.param.name; });

TEST_P(HostAgeEstimatorClockTest, EstimatesAgeZeroForAHostThatHasJustStarted) {
  const Time now = seconds(100);
  ages.on_unix_time(now, unix_at(now));
  EXPECT_EQ(ages.started(now, unix_at(now)), now);
}

TEST_P(HostAgeEstimatorClockTest, NeverOverestimatesTheAgeOfAHost) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    HostAgeEstimator estimator(kOrigin.time_since_epoch() + GetParam().error);
    for (Time now = seconds(50); now < seconds(150); now += seconds(1 + random() % 9)) {
      const Time started = now - seconds(random() % 4000);
      estimator.on_unix_time(now, unix_at(started));
      EXPECT_GE(estimator.started(now, unix_at(started)), started);
      EXPECT_LE(estimator.started(now, unix_at(started)), now);
    }
  }
}

// The start of the youngest host is a lower bound of the Unix time, which bounds the ages of the
// other hosts from below.
TEST(HostAgeEstimatorTest, BoundsAnAgeFromBelowByOtherHostsStarts) {
  HostAgeEstimator ages(kOrigin.time_since_epoch() + hours(1));
  const Time now = seconds(100);
  ages.on_unix_time(now, unix_at(seconds(98)));
  EXPECT_EQ(ages.started(now, unix_at(seconds(38))), seconds(40))
      << "60 s before the youngest host";
  EXPECT_EQ(ages.started(now, unix_at(seconds(98))), now);
  // The bound advances with the clock.
  EXPECT_EQ(ages.started(seconds(110), unix_at(seconds(105))), seconds(107));
}

// A host whose own clock is ahead must not make other hosts look older.
TEST(HostAgeEstimatorTest, DoesNotOverestimateAgesBecauseOfAHostWhoseClockIsAhead) {
  HostAgeEstimator ages(kOrigin.time_since_epoch());
  const Time now = seconds(100);
  ages.on_unix_time(now, unix_at(now + hours(1)));
  EXPECT_EQ(ages.started(now, unix_at(seconds(99))), seconds(99));
  EXPECT_EQ(ages.started(now, unix_at(now + hours(1))), now)
      << "the host must not stay in slow start for an hour";
}

}  // namespace
}  // namespace balancer::recovery

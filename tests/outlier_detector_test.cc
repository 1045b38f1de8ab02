#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

namespace balancer {
namespace {

using std::chrono::seconds;

TEST(OutlierDetectorTest, LengthensEjectionsWithEachFailureAndResetsOnSuccess) {
  OutlierDetector detector;
  const Time t = seconds(100);
  EXPECT_FALSE(detector.is_ejected(t));
  detector.on_failure(t, 0.5);
  EXPECT_TRUE(detector.is_ejected(t + from_seconds(0.9)));
  EXPECT_FALSE(detector.is_ejected(t + from_seconds(1.1)));
  detector.on_failure(t + seconds(2), 0.5);
  EXPECT_TRUE(detector.is_ejected(t + from_seconds(3.9)));
  EXPECT_FALSE(detector.is_ejected(t + from_seconds(4.1)));
  detector.on_success();
  detector.on_failure(t + seconds(10), 0.5);
  EXPECT_FALSE(detector.is_ejected(t + from_seconds(11.1)));
}

TEST(OutlierDetectorTest, EjectsAfterConsecutiveErrorsWithoutASuccessBetween) {
  OutlierDetector detector;
  const Time t = seconds(100);
  for (int i = 0; i < 20; ++i) {
    detector.on_error(t, 0.5);
    EXPECT_FALSE(detector.is_ejected(t));
    detector.on_success();
  }
  for (int i = 0; i < 3; ++i) detector.on_error(t, 0.5);
  EXPECT_TRUE(detector.is_ejected(t + from_seconds(0.9)));
}

TEST(OutlierDetectorTest, LowersTheLoadFactorWithSlowAnswersAndRaisesItWithTime) {
  OutlierDetector detector;
  const Time t = seconds(100);
  EXPECT_DOUBLE_EQ(detector.load_factor(t), 1);
  for (int i = 0; i < 10; ++i) detector.on_answer(t, true);
  EXPECT_DOUBLE_EQ(detector.load_factor(t), 0.1) << "a host keeps at least a tenth of its keys";
  EXPECT_DOUBLE_EQ(detector.load_factor(t + seconds(20)), 0.2);
  detector.on_answer(t + seconds(20), false);
  EXPECT_DOUBLE_EQ(detector.load_factor(t + seconds(20)), 0.3);
  detector.on_restart();
  EXPECT_DOUBLE_EQ(detector.load_factor(t + seconds(20)), 1)
      << "a new process starts with the full load factor";
}

TEST(OutlierDetectorTest, HasStalledAttemptsWhileTheOldestIsInFlightBeyondTheThreshold) {
  OutlierDetector detector;
  const Time t = seconds(100);
  EXPECT_TRUE(detector.is_idle());
  detector.on_sent(t);
  detector.on_sent(t + seconds(1));
  EXPECT_FALSE(detector.is_idle());
  EXPECT_FALSE(detector.has_stalled_attempts(t + seconds(2), seconds(2)));
  EXPECT_TRUE(detector.has_stalled_attempts(t + seconds(3), seconds(2)));
  detector.on_ended(t);
  EXPECT_FALSE(detector.has_stalled_attempts(t + seconds(3), seconds(2)));
}

}  // namespace
}  // namespace balancer

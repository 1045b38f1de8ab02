// Tests the readiness checks with simulated time.
#include "testbed/audit/readiness.h"

#include <gtest/gtest.h>

namespace balancer::testbed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReadinessTest : public ::testing::Test {
 protected:
  void restart(int balancer, Duration took) {
    readiness.on_start(now, balancer);
    readiness.on_ready(now += took, balancer);
  }
  Check soon() const { return readiness.checks().at(0); }
  Check latest() const { return readiness.checks().at(1); }

  Readiness readiness;
  Time now{0};
};

TEST_F(ReadinessTest, AllowsOneInTenToTakeLongerThanTenSeconds) {
  for (int b = 0; b < 19; ++b) restart(b, seconds(10));
  restart(19, milliseconds(10'001));
  restart(19, milliseconds(30'000));
  EXPECT_EQ(soon().cases, 21u);
  EXPECT_EQ(soon().broken, 2u);
  EXPECT_FALSE(soon().failed());
  EXPECT_FALSE(latest().failed());
  restart(20, milliseconds(10'001));
  EXPECT_TRUE(soon().failed()) << "three of 22";
  EXPECT_NE(soon().example.find("balancer 19"), std::string::npos) << soon().example;
}

TEST_F(ReadinessTest, FailsIfABalancerTakesLongerThanThirtySeconds) {
  for (int b = 0; b < 99; ++b) restart(b, seconds(1));
  restart(99, milliseconds(30'001));
  EXPECT_FALSE(soon().failed());
  EXPECT_TRUE(latest().failed());
}

TEST_F(ReadinessTest, CountsABalancerThatIsNotReadyAtTheEnd) {
  readiness.on_start(seconds(1), 0);
  readiness.on_start(seconds(31), 1);
  readiness.on_end(seconds(32));
  EXPECT_EQ(soon().cases, 1u) << "the other has had 1 s";
  EXPECT_EQ(soon().broken, 1u);
  EXPECT_EQ(latest().broken, 1u);
}

TEST_F(ReadinessTest, IgnoresABalancerThatIsKilledWhileItStarts) {
  readiness.on_start(seconds(0), 0);
  readiness.on_struck(0);
  readiness.on_ready(seconds(50), 0);
  readiness.on_end(seconds(60));
  EXPECT_EQ(soon().cases, 0u);
}

}  // namespace
}  // namespace balancer::testbed

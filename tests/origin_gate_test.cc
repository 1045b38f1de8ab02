#include "policy/origin_gate.h"

#include <gtest/gtest.h>

#include <cmath>

namespace silverpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(200);

// `n` fetches that all took `took` and ended just before the period did.
void one_period(OriginGate& gate, Time end, Duration took, int n, bool failed = false) {
  const Time done = end - milliseconds(1);
  for (int i = 0; i < n; ++i) {
    gate.on_sent(done - took);
    gate.on_done(done - took, done, failed);
  }
  gate.advance(end);
}

TEST(OriginGate, StepsAreWorkedOutByHand) {
  OriginGate gate(kTarget, Time{0});
  one_period(gate, milliseconds(500), milliseconds(400), 4);
  // The high point becomes (1, 0.4); the low one is still (0.05, 0). The gain 0.95/0.4 times the
  // error -0.2 is -0.475, of which the filter lets 0.5/1.5 through: -0.1583. The integral is
  // 0.5*0.5/4*(-0.2) = -0.0125. 1 - 0.1583 - 0.0125 = 0.8292. With nothing refused the integral
  // then bleeds by a quarter, to -0.009375.
  EXPECT_NEAR(gate.fraction(), 0.8292, 0.0001);
  one_period(gate, milliseconds(1000), milliseconds(100), 4);
  // The high point has faded by exp(-0.5/4) = 0.8825 to (1, 0.4); the low one becomes (0.8292,
  // 0.1). The gain 0.1708/0.3 times 0.1 is 0.0569; the filter moves a third of the way from -0.1583
  // to it, to -0.0866; the integral becomes -0.009375 + 0.00625. 0.8292 - 0.0866 - 0.0031 = 0.7395.
  EXPECT_NEAR(gate.fraction(), 0.7395, 0.002);
}

TEST(OriginGate, OneSlowFetchIsNoSlowOrigin) {
  OriginGate gate(kTarget, Time{0});
  one_period(gate, milliseconds(500), milliseconds(400), 1);
  EXPECT_DOUBLE_EQ(gate.fraction(), 1);
  one_period(gate, milliseconds(1000), milliseconds(20), 3);
  EXPECT_DOUBLE_EQ(gate.fraction(), 1);  // the mean of all four is 0.115 s
}

TEST(OriginGate, AChanceHighPointIsNoCeilingForGood) {
  OriginGate gate(kTarget, Time{0});
  Time now{0};
  for (int i = 0; i < 6; ++i) one_period(gate, now += milliseconds(500), milliseconds(500), 4);
  const double low = gate.fraction();
  EXPECT_LT(low, 0.6);
  // Somewhat below the target from here on, while the surplus is refused.
  for (int i = 0; i < 16; ++i) {
    for (int r = 0; r < 20; ++r) gate.admit(now);
    one_period(gate, now += milliseconds(500), milliseconds(190), 4);
  }
  EXPECT_GT(gate.fraction(), low + 0.1);
}

// A server whose time rises with the share admitted, four samples a period.
double settle(OriginGate& gate, Time& now, int periods, double capacity) {
  for (int p = 0; p < periods; ++p) {
    const double load = std::min(gate.fraction() / capacity, 0.98);
    const Duration took = from_seconds(0.05 / (1 - load));
    for (int i = 0; i < 4; ++i) {
      now += milliseconds(125);
      for (int r = 0; r < 10; ++r) {
        gate.on_read(now);
        gate.admit(now);
      }
      gate.on_sent(now - took);
      gate.on_done(now - took, now, false);
    }
  }
  return gate.fraction();
}

TEST(OriginGate, ConvergesOnAServerWhoseTimeRisesWithLoadAndReopens) {
  OriginGate gate(kTarget, Time{0});
  Time now = seconds(1);
  settle(gate, now, 200, 0.6);
  double mean = 0;
  for (int i = 0; i < 100; ++i) mean += settle(gate, now, 1, 0.6) / 100;
  EXPECT_NEAR(mean, 0.45, 0.08);  // 0.05/(1-x/0.6) = 0.2 at x = 0.45
  EXPECT_GT(settle(gate, now, 100, 5.0), 0.9);
}

TEST(OriginGate, HungFetchesCloseItWhileStillOut) {
  OriginGate gate(kTarget, Time{0});
  for (int i = 0; i < 4; ++i) gate.on_sent(milliseconds(10));
  gate.advance(seconds(5));
  EXPECT_LT(gate.fraction(), 0.3);
}

TEST(OriginGate, FailedFetchesCountAsSlowAndDroppedOnesNotAtAll) {
  OriginGate gate(kTarget, Time{0});
  one_period(gate, milliseconds(500), milliseconds(1), 4, true);
  EXPECT_LT(gate.fraction(), 0.9);
  OriginGate other(kTarget, Time{0});
  for (int i = 0; i < 4; ++i) other.on_sent(milliseconds(10));
  for (int i = 0; i < 4; ++i) other.on_dropped(milliseconds(10));
  other.advance(seconds(5));
  EXPECT_DOUBLE_EQ(other.fraction(), 1);
}

TEST(OriginGate, NoInputMakesItLeaveItsBoundsOrStayShut) {
  OriginGate gate(kTarget, Time{0});
  Time now{0};
  std::uint64_t x = 88172645463325252u;
  for (int i = 0; i < 50000; ++i) {
    x ^= x << 13, x ^= x >> 7, x ^= x << 17;
    now += milliseconds(x % 400 == 0 ? 30000 : x % 40);
    const Time sent = now - milliseconds((x >> 20) % 3000);
    switch ((x >> 40) % 4) {
      case 0:
        gate.on_read(now);
        break;
      case 1:
        gate.admit(now);
        break;
      case 2:
        gate.on_sent(sent);
        gate.on_done(sent, now, (x >> 50) % 3 == 0);
        break;
      default:
        gate.on_dropped(sent);
    }
    ASSERT_TRUE(std::isfinite(gate.fraction()));
    ASSERT_GE(gate.fraction(), 0.05);
    ASSERT_LE(gate.fraction(), 1);
  }
  EXPECT_TRUE(gate.admit(now + seconds(10)));  // whatever came before, some fetch goes
}

}  // namespace
}  // namespace silverpin

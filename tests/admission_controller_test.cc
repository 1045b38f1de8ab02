#include "policy/admission_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(200);

// `n` fetches that all took `took`, and end just before the period does that they end in.
void one_period(AdmissionController& gate, Time end, Duration took, int n, bool failed = false) {
  const Time done = end - milliseconds(1);
  for (int i = 0; i < n; ++i) gate.on_sent(done - took);
  for (int i = 0; i < n; ++i) gate.on_done(done - took, done, failed);
  gate.advance(end);
}

void read(AdmissionController& gate, Time now, int n) {
  for (int i = 0; i < n; ++i) gate.on_read(now);
}

TEST(AdmissionControllerTest, StepsAsCalculatedByHand) {
  AdmissionController gate(kTarget, Time{0});
  read(gate, milliseconds(10), 10);  // 40 a second
  one_period(gate, milliseconds(250), milliseconds(220), 4);
  // 4 in 0.25 s are 16 a second, of which 1 - exp(-0.25) = 0.2212 count at first: 3.54, of 40 reads
  // a second 0.0885. The queue of 0.02 s is to drain within 2 s: less a hundredth.
  EXPECT_NEAR(gate.admit_fraction(), 0.0876, 0.0005);
  // From there it opens to 0.85 of what was done at once. Read on at 40 a second; 0.05 s each.
  read(gate, milliseconds(260), 10);
  for (int r = 0; r < 20; ++r) gate.admit(milliseconds(300));
  one_period(gate, milliseconds(500), milliseconds(50), 4);
  // 3.54 * exp(-0.25) + 16 * 0.2212 = 6.30, 0.157 of the reads; the gain from (0.0876, 0.05) to the
  // faded high point (1, 0.22) is far steeper: 0.912/0.17 * 0.15 = 0.80, a fifth of it 0.16, and
  // 0.0876 + 0.16 + 0.0047 = 0.25. So the bound holds: 0.85 * 0.157 = 0.134.
  EXPECT_NEAR(gate.admit_fraction(), 0.134, 0.002);
  // And from what was done on by a quarter a second.
  double before = gate.admit_fraction();
  for (int i = 3; i < 40; ++i) {
    read(gate, milliseconds(250 * i - 240), 10);
    for (int r = 0; r < 20; ++r) gate.admit(milliseconds(250 * i - 200));
    one_period(gate, milliseconds(250 * i), milliseconds(50), 4);
    EXPECT_LE(gate.admit_fraction(),
              std::max(before * std::exp(0.25 * 0.25), 0.85 * 16 / 40) + 1e-9);
    EXPECT_GE(gate.admit_fraction(), before);
    before = gate.admit_fraction();
  }
  EXPECT_DOUBLE_EQ(before, 1);
}

TEST(AdmissionControllerTest, StaysOpenAfterOneSlowFetch) {
  AdmissionController gate(kTarget, Time{0});
  one_period(gate, milliseconds(500), milliseconds(400), 1);
  EXPECT_DOUBLE_EQ(gate.admit_fraction(), 1);
  one_period(gate, milliseconds(1000), milliseconds(20), 3);
  EXPECT_DOUBLE_EQ(gate.admit_fraction(), 1);  // the mean of all four is 0.115 s
}

// Sent at once, none has come back: the queue shows in the first period, and not once it has been
// waited for.
TEST(AdmissionControllerTest, DetectsAQueueBeforeItsFetchesEnd) {
  AdmissionController gate(kTarget, Time{0});
  read(gate, milliseconds(1), 100);
  Time now{0};
  for (int i = 0; i < 50; ++i) gate.on_sent(now += milliseconds(4));
  for (int i = 0; i < 5; ++i) gate.on_done(milliseconds(4 + 4 * i), now += milliseconds(5), false);
  gate.advance(milliseconds(250));
  // 5 done while 50 were out for 0.13 s on average: over a second each.
  EXPECT_LT(gate.admit_fraction(), 0.1);
}

// The caches are lost behind a gate that is wide open: before any step what is out stays at what
// all reads would have out at the target. An origin that keeps up is not held back by it, nor one
// that is busy with more writes than there are reads.
TEST(AdmissionControllerTest, BoundsFetchesInFlightByAllReadsAtTheTarget) {
  AdmissionController gate(kTarget, Time{0});
  int out = 0;
  for (int i = 0; i < 50; ++i) {
    const Time now = milliseconds(4 * i);
    gate.on_read(now);
    if (gate.admit(now)) gate.on_sent(now), ++out;
  }
  EXPECT_EQ(out, 40);  // 50 reads of a period that has lasted 0.2 s: 200 a second by 0.2 s
  EXPECT_DOUBLE_EQ(gate.admit_fraction(), 1);

  AdmissionController quick(kTarget, Time{0});
  for (int i = 0; i < 250; ++i) quick.on_read(milliseconds(4 * i));
  for (int i = 0; i < 1000; ++i) {
    const Time now = seconds(1) + milliseconds(4 * i);
    quick.on_read(now);
    ASSERT_TRUE(quick.admit(now)) << i;
    quick.on_sent(now);
    if (i >= 13) quick.on_done(now - milliseconds(52), now, false);
  }
  // 200 writes a second that take 0.15 s each, 30 of them out, beside one read a second.
  AdmissionController busy(kTarget, Time{0});
  int fetched = 0;
  for (int i = 0; i < 4000; ++i) {
    const Time now = milliseconds(5 * i);
    busy.on_sent(now);
    if (i >= 30) busy.on_done(now - milliseconds(150), now, false);
    if (i % 200 != 0) continue;
    busy.on_read(now);
    fetched += busy.admit(now);
  }
  EXPECT_GE(fetched, 19);
}

// One fetch in two seconds, as a balancer of a large fleet sees: it acts on what is out for long.
TEST(AdmissionControllerTest, ReactsToALoneFetchThatTakesLongEnough) {
  AdmissionController gate(kTarget, Time{0});
  read(gate, milliseconds(1), 1);
  gate.on_sent(milliseconds(10));
  gate.advance(milliseconds(700));
  EXPECT_DOUBLE_EQ(gate.admit_fraction(), 1);
  gate.advance(milliseconds(1050));  // four times the target and more
  EXPECT_LT(gate.admit_fraction(), 0.1);
}

// An origin that does one fetch after the other, and 200 reads a second that all miss.
struct Queue {
  // From `now` on for so long; each read that is refused comes again at once, `repeats` times at
  // most. Returns how many fetches were sent.
  int run(Duration length, Duration work, int repeats = 0) {
    int sent = 0;
    for (const Time end = now + length; now < end; now += milliseconds(1)) {
      while (!out.empty() && out.front().second <= now) {
        gate.on_done(out.front().first, out.front().second, false);
        out.pop_front();
      }
      if (now.count() % 5'000'000 != 0) continue;
      for (int r = 0; r <= repeats; ++r) {
        gate.on_read(now);
        if (!gate.admit(now)) continue;
        gate.on_sent(now);
        free = std::max(free, now) + work;
        out.emplace_back(now, free);
        ++sent;
        break;
      }
    }
    return sent;
  }
  // For how long one that is sent now would wait.
  Duration wait() const { return std::max(Duration{0}, free - now); }

  AdmissionController gate{kTarget, Time{0}};
  Time now{0}, free{0};
  std::deque<std::pair<Time, Time>> out;  // sent, done
};

TEST(AdmissionControllerTest, SettlesAtTheOriginsCapacityAndReopensOnceThatGrows) {
  Queue q;
  q.run(seconds(10), milliseconds(20));  // 50 a second
  for (int s = 0; s < 10; ++s) {
    const int sent = q.run(seconds(1), milliseconds(20));
    EXPECT_GT(sent, 38) << s;
    EXPECT_LT(sent, 60) << s;
    EXPECT_LT(q.wait(), milliseconds(600)) << s;
  }
  q.run(seconds(10), milliseconds(4));
  EXPECT_TRUE(q.gate.admits_all());
  EXPECT_EQ(q.run(seconds(1), milliseconds(4)), 200);
}

// What refused clients ask for again must not open the gate wider: what was done is a share of it.
TEST(AdmissionControllerTest, DoesNotAdmitMoreWhereRejectedReadsAreRetried) {
  for (const int repeats : {0, 2}) {
    Queue q;
    q.run(seconds(10), milliseconds(20), repeats);
    const int sent = q.run(seconds(10), milliseconds(20), repeats);
    EXPECT_GT(sent, 430) << repeats;  // of 500 that it can do
    EXPECT_LT(sent, 515) << repeats;
    EXPECT_LT(q.wait(), milliseconds(600)) << repeats;
  }
}

// The origin falls to a tenth for 20 s, with a second of work in it when it is back: it is not
// swamped, and all is served again within seconds.
TEST(AdmissionControllerTest, DoesNotOverloadAnOriginAtATenthOfItsCapacity) {
  Queue q;
  q.run(seconds(5), milliseconds(4));
  q.run(seconds(3), milliseconds(40));
  for (int s = 0; s < 17; ++s) {
    q.run(seconds(1), milliseconds(40));
    EXPECT_LT(q.wait(), milliseconds(1600)) << s;
  }
  q.run(seconds(12), milliseconds(4));
  EXPECT_EQ(q.run(seconds(1), milliseconds(4)), 200);
}

TEST(AdmissionControllerTest, ForgetsAHighPointThatWasChance) {
  AdmissionController gate(kTarget, Time{0});
  Time now{0};
  for (int i = 0; i < 6; ++i) one_period(gate, now += milliseconds(500), milliseconds(500), 4);
  const double low = gate.admit_fraction();
  EXPECT_LT(low, 0.6);
  // Somewhat below the target from here on, while the surplus is refused.
  for (int i = 0; i < 32; ++i) {
    for (int r = 0; r < 20; ++r) gate.admit(now);
    one_period(gate, now += milliseconds(500), milliseconds(190), 4);
  }
  EXPECT_GT(gate.admit_fraction(), low + 0.1);
}

TEST(AdmissionControllerTest, ClosesWhileHungFetchesAreInFlight) {
  AdmissionController gate(kTarget, Time{0});
  for (int i = 0; i < 4; ++i) gate.on_sent(milliseconds(10));
  gate.advance(seconds(5));
  EXPECT_LT(gate.admit_fraction(), 0.3);
}

TEST(AdmissionControllerTest, CountsFailedFetchesAsSlowAndDroppedOnesNotAtAll) {
  AdmissionController gate(kTarget, Time{0});
  one_period(gate, milliseconds(500), milliseconds(1), 4, true);
  EXPECT_LT(gate.admit_fraction(), 0.9);
  AdmissionController other(kTarget, Time{0});
  for (int i = 0; i < 4; ++i) other.on_sent(milliseconds(10));
  for (int i = 0; i < 4; ++i) other.on_dropped(milliseconds(10), milliseconds(20));
  other.advance(seconds(5));
  EXPECT_DOUBLE_EQ(other.admit_fraction(), 1);
}

TEST(AdmissionControllerTest, StaysWithinItsBoundsAndReopensUnderAnyInput) {
  AdmissionController gate(kTarget, Time{0});
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
        gate.on_sent(now);
        now += milliseconds((x >> 20) % 3000);
        gate.on_done(sent, now, (x >> 50) % 3 == 0);
        break;
      default:
        gate.on_dropped(sent, now);
    }
    ASSERT_TRUE(std::isfinite(gate.admit_fraction()));
    ASSERT_GE(gate.admit_fraction(), 0.05);
    ASSERT_LE(gate.admit_fraction(), 1);
  }
  EXPECT_TRUE(gate.admit(now + seconds(10)));  // whatever came before, some fetch goes
}

}  // namespace
}  // namespace balancer

// Announcing by command, and whether an instance is eligible to hold addresses.
#include "route_announcement/command_announcer.h"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <tuple>

#include "lease/eligibility.h"

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = CommandAnnouncer::Action::Kind;
using State = CommandAnnouncer::State;

// Carries actions out and holds them to what must never be: two commands at once, a claim beside a
// release that is not done, an announcement without a claim that did well.
struct Machine {
  CommandAnnouncer announcer;
  Time now{seconds(1)};
  enum { kNothing, kClaim, kRelease } running = kNothing;
  bool claimed = false;  // a claim has run, whole or not, and no release has done well since
  bool claim_good = false;
  std::vector<Kind> told;

  void carry() {
    for (const auto& a : announcer.take_actions()) {
      switch (a.kind) {
        case Kind::kClaim:
          ASSERT_EQ(running, kNothing);
          ASSERT_FALSE(claimed) << "claimed twice without a release between";
          running = kClaim;
          claimed = true;
          claim_good = false;
          break;
        case Kind::kRelease:
          ASSERT_EQ(running, kNothing);
          running = kRelease;
          break;
        case Kind::kAbort:
          ASSERT_EQ(running, kClaim);
          break;
        case Kind::kAnnounced:
          ASSERT_TRUE(claim_good);
          told.push_back(a.kind);
          break;
        case Kind::kWithdrawn:
          ASSERT_FALSE(claimed);
          told.push_back(a.kind);
          break;
        case Kind::kFailed:
          told.push_back(a.kind);
          break;
        case Kind::kReleaseAbandoned:
          claimed = false;  // it cannot be helped, and it was said
          told.push_back(a.kind);
          break;
      }
    }
  }
  void end(bool good) {
    if (running == kNothing) return;
    if (running == kClaim) claim_good = good;
    if (running == kRelease && good) claimed = false;
    running = kNothing;
    announcer.on_command_ended(now, good ? "" : "exit code 1");
    carry();
  }
};

TEST(CommandAnnouncerTest, ClaimsAndReleases) {
  Machine m;
  m.announcer.claim(m.now, 3);
  m.carry();
  EXPECT_EQ(m.running, Machine::kClaim);
  m.end(true);
  EXPECT_EQ(m.told, std::vector{Kind::kAnnounced});
  m.announcer.release(m.now);
  m.carry();
  m.end(true);
  EXPECT_EQ(m.told, (std::vector{Kind::kAnnounced, Kind::kWithdrawn}));
  EXPECT_EQ(m.announcer.state(), State::kIdle);
}

TEST(CommandAnnouncerTest, AbandonsAReleaseThatKeepsFailingAndReportsIt) {
  Machine m;
  m.announcer.claim(m.now, 1);
  m.carry();
  m.end(true);
  m.announcer.release(m.now);
  m.carry();
  for (int i = 0; i < 30 && m.announcer.state() != State::kIdle; ++i) {
    m.end(false);
    if (m.announcer.next() != Time::max()) m.now = m.announcer.next();
    m.announcer.on_timer(m.now);
    m.carry();
  }
  EXPECT_EQ(m.told.back(), Kind::kReleaseAbandoned);
  EXPECT_EQ(m.announcer.state(), State::kIdle);
}

// Every sequence of seven events.
TEST(CommandAnnouncerTest, EndsIdleAfterEverySequenceOfSevenEvents) {
  constexpr int kEvents = 5, kDepth = 7;
  int all = 1;
  for (int i = 0; i < kDepth; ++i) all *= kEvents;
  for (int code = 0; code < all; ++code) {
    Machine m;
    std::string story;
    for (int i = 0, c = code; i < kDepth; ++i, c /= kEvents) {
      m.now += milliseconds(700);
      switch (c % kEvents) {
        case 0:
          m.announcer.claim(m.now, static_cast<std::uint64_t>(i));
          break;
        case 1:
          m.announcer.release(m.now);
          break;
        case 2:
          m.end(true);
          break;
        case 3:
          m.end(false);
          break;
        default:
          if (m.announcer.next() <= m.now) m.announcer.on_timer(m.now);
      }
      story += std::to_string(c % kEvents);
      m.carry();
      ASSERT_FALSE(::testing::Test::HasFatalFailure()) << story;
    }
    // Told to release it comes to rest, whatever was before.
    m.announcer.release(m.now);
    m.carry();
    for (int i = 0; i < 8 && m.announcer.state() != State::kIdle; ++i) {
      m.now += seconds(1);
      m.announcer.on_timer(m.now);
      m.carry();
      m.end(true);
    }
    ASSERT_EQ(m.announcer.state(), State::kIdle) << story;
    ASSERT_FALSE(m.claimed) << story;
    ASSERT_EQ(m.running, Machine::kNothing) << story;
  }
}

}  // namespace

namespace lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Part = Eligibility::Part;

TEST(Eligibility, IsThereAtOnceAndShortGapsAreNotMissed) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(10);
  EXPECT_TRUE(a.eligible(now));
  a.on_part(now, Part::kRouters, false);
  EXPECT_TRUE(a.eligible(now + milliseconds(299)));
  EXPECT_EQ(a.next(), now + milliseconds(300));
  EXPECT_FALSE(a.eligible(now + milliseconds(300)));
  EXPECT_NE(a.why().find("routers"), std::string::npos);
}

TEST(Eligibility, ALostListenerCountsAtOnce) {
  Eligibility a{EligibilitySettings{}};
  EXPECT_TRUE(a.eligible(seconds(1)));
  a.on_part(seconds(1), Part::kListener, false);
  EXPECT_FALSE(a.eligible(seconds(1)));
}

TEST(Eligibility, OneThatComesAndGoesWaitsEverLonger) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(1);
  EXPECT_TRUE(a.eligible(now));
  Duration last{0};
  for (int i = 0; i < 7; ++i) {
    a.on_part(now, Part::kListener, false);
    EXPECT_FALSE(a.eligible(now));
    a.on_part(now, Part::kListener, true);
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
  a.on_part(now, Part::kListener, false);
  EXPECT_FALSE(a.eligible(now));
  a.on_part(now, Part::kListener, true);
  EXPECT_FALSE(a.eligible(now));
  EXPECT_TRUE(a.eligible(now + milliseconds(500)));
}

TEST(Eligibility, ALateEventLoop) {
  Eligibility a{EligibilitySettings{}};
  Time now = seconds(1);
  for (int i = 0; i < 2; ++i) a.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_TRUE(a.eligible(now)) << "twice is chance";
  a.on_lateness(now += milliseconds(500), milliseconds(300));
  EXPECT_FALSE(a.eligible(now));
  EXPECT_NE(a.why().find("late"), std::string::npos);
  const Time then = now;
  while (!a.eligible(now) && now < then + seconds(20))
    now = std::max(now + milliseconds(1), a.next());
  EXPECT_GE(now - then, seconds(2));
  EXPECT_LE(now - then, seconds(5));
}

// Against what is stated: able only where nothing has been missing for longer than its grace; not
// able without a cause within the stated times; next() never misses a change.
TEST(Eligibility, AnyNews) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const EligibilitySettings s;
    Eligibility a{s};
    Time now = seconds(1);
    bool there[Eligibility::kParts] = {true, true, true, true};
    Time since[Eligibility::kParts] = {};
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
      const auto part = random() % Eligibility::kParts;
      if (random() % 6 == 0) {
        a.on_lateness(now, milliseconds(random() % 400));
      } else {
        const bool good = random() % 3 > 0;
        if (there[part] != good) since[part] = now;
        there[part] = good;
        a.on_part(now, static_cast<Part>(part), good);
      }
      const bool eligible = a.eligible(now);
      bool missing = false;
      for (std::size_t p = 0; p < Eligibility::kParts; ++p) {
        const bool waits = p == 0 || p == 2;
        missing = missing || (!there[p] && (!waits || now - since[p] >= s.grace));
      }
      if (missing) {
        EXPECT_FALSE(eligible);
        EXPECT_FALSE(a.why().empty());
        quiet_since = now;
      }
    }
    for (std::size_t p = 0; p < Eligibility::kParts; ++p)
      a.on_part(now, static_cast<Part>(p), true);
    EXPECT_TRUE(a.eligible(now) || [&] {
      const Time end = now + s.late_window + s.steady * 16 + milliseconds(10);
      while (now < end && !a.eligible(now)) now = std::max(now + milliseconds(1), a.next());
      return a.eligible(now);
    }());
  }
}

}  // namespace
}  // namespace lease
}  // namespace balancer

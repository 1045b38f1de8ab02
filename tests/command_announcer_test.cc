// Addresses that are claimed and released by command.
#include "route_announcement/command_announcer.h"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <tuple>

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
}  // namespace balancer

// Tests the announcement of addresses by the operator's claim and release commands.
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

// Executes the announcer's actions and asserts its invariants: never two commands at once, no claim
// before the previous one was released, and no announcement without a successful claim.
struct CommandRunner {
  CommandAnnouncer announcer;
  Time now{seconds(1)};
  enum { kNothing, kClaim, kRelease } running = kNothing;
  bool claimed = false;  // a claim has started, and no release has succeeded since
  bool claim_succeeded = false;
  std::vector<Kind> reports;

  void execute_actions() {
    for (const auto& a : announcer.take_actions()) {
      switch (a.kind) {
        case Kind::kClaim:
          ASSERT_EQ(running, kNothing);
          ASSERT_FALSE(claimed) << "claimed twice without a release between";
          running = kClaim;
          claimed = true;
          claim_succeeded = false;
          break;
        case Kind::kRelease:
          ASSERT_EQ(running, kNothing);
          running = kRelease;
          break;
        case Kind::kAbort:
          ASSERT_EQ(running, kClaim);
          break;
        case Kind::kAnnounced:
          ASSERT_TRUE(claim_succeeded);
          reports.push_back(a.kind);
          break;
        case Kind::kWithdrawn:
          ASSERT_FALSE(claimed);
          reports.push_back(a.kind);
          break;
        case Kind::kFailed:
          reports.push_back(a.kind);
          break;
        case Kind::kReleaseAbandoned:
          claimed = false;  // the release was given up, and reported
          reports.push_back(a.kind);
          break;
      }
    }
  }
  void end_command(bool succeeded) {
    if (running == kNothing) return;
    if (running == kClaim) claim_succeeded = succeeded;
    if (running == kRelease && succeeded) claimed = false;
    running = kNothing;
    announcer.on_command_ended(now, succeeded ? "" : "exit code 1");
    execute_actions();
  }
};

TEST(CommandAnnouncerTest, ClaimsAndReleases) {
  CommandRunner runner;
  runner.announcer.claim(runner.now, 3);
  runner.execute_actions();
  EXPECT_EQ(runner.running, CommandRunner::kClaim);
  runner.end_command(true);
  EXPECT_EQ(runner.reports, std::vector{Kind::kAnnounced});
  runner.announcer.release(runner.now);
  runner.execute_actions();
  runner.end_command(true);
  EXPECT_EQ(runner.reports, (std::vector{Kind::kAnnounced, Kind::kWithdrawn}));
  EXPECT_EQ(runner.announcer.state(), State::kIdle);
}

TEST(CommandAnnouncerTest, AbandonsAReleaseThatKeepsFailingAndReportsIt) {
  CommandRunner runner;
  runner.announcer.claim(runner.now, 1);
  runner.execute_actions();
  runner.end_command(true);
  runner.announcer.release(runner.now);
  runner.execute_actions();
  for (int i = 0; i < 30 && runner.announcer.state() != State::kIdle; ++i) {
    runner.end_command(false);
    if (runner.announcer.next_timer_at() != Time::max())
      runner.now = runner.announcer.next_timer_at();
    runner.announcer.on_timer(runner.now);
    runner.execute_actions();
  }
  EXPECT_EQ(runner.reports.back(), Kind::kReleaseAbandoned);
  EXPECT_EQ(runner.announcer.state(), State::kIdle);
}

// All 5^7 sequences of seven events.
// Before the end of the process the attempts follow each other closely enough for all ten, also if
// some had failed before and if the commands themselves take some of the time.
TEST(CommandAnnouncerTest, FitsAllReleaseAttemptsIntoTheTimeLeft) {
  constexpr Duration kCommandTime = std::chrono::milliseconds(20);
  CommandAnnouncer announcer;
  announcer.claim(Time{0}, 1);
  announcer.on_command_ended(Time{0}, "");
  announcer.release(Time{0});
  announcer.on_command_ended(Time{0}, "exit code 1");
  const Time until = std::chrono::seconds(1);
  announcer.limit_release(Time{0}, until);
  int attempts = 1;
  while (announcer.state() == CommandAnnouncer::State::kReleasing) {
    const Time started = announcer.next_timer_at();
    ASSERT_LE(started + kCommandTime, until);
    announcer.on_timer(started);
    ++attempts;
    announcer.on_command_ended(started + kCommandTime, "exit code 1");
  }
  EXPECT_EQ(attempts, CommandAnnouncer::kMaxReleaseAttempts);
  EXPECT_EQ(announcer.take_actions().back().kind,
            CommandAnnouncer::Action::Kind::kReleaseAbandoned);
}

TEST(CommandAnnouncerTest, EndsIdleAfterEverySequenceOfSevenEvents) {
  constexpr int kEvents = 5, kDepth = 7;
  int all = 1;
  for (int i = 0; i < kDepth; ++i) all *= kEvents;
  for (int code = 0; code < all; ++code) {
    CommandRunner runner;
    std::string events;
    for (int i = 0, c = code; i < kDepth; ++i, c /= kEvents) {
      runner.now += milliseconds(700);
      switch (c % kEvents) {
        case 0:
          runner.announcer.claim(runner.now, static_cast<std::uint64_t>(i));
          break;
        case 1:
          runner.announcer.release(runner.now);
          break;
        case 2:
          runner.end_command(true);
          break;
        case 3:
          runner.end_command(false);
          break;
        default:
          if (runner.announcer.next_timer_at() <= runner.now) runner.announcer.on_timer(runner.now);
      }
      events += std::to_string(c % kEvents);
      runner.execute_actions();
      ASSERT_FALSE(::testing::Test::HasFatalFailure()) << events;
    }
    // After release() the announcer must return to idle, whatever happened before.
    runner.announcer.release(runner.now);
    runner.execute_actions();
    for (int i = 0; i < 8 && runner.announcer.state() != State::kIdle; ++i) {
      runner.now += seconds(1);
      runner.announcer.on_timer(runner.now);
      runner.execute_actions();
      runner.end_command(true);
    }
    ASSERT_EQ(runner.announcer.state(), State::kIdle) << events;
    ASSERT_FALSE(runner.claimed) << events;
    ASSERT_EQ(runner.running, CommandRunner::kNothing) << events;
  }
}

}  // namespace
}  // namespace balancer

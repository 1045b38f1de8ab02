// Tests the auditor directly, one request at a time.
#include "testbed/audit/auditor.h"

#include "rig_harness.h"

namespace balancer::testbed {
namespace {

using std::chrono::milliseconds;

class AuditorTest : public ::testing::Test {
 protected:
  static constexpr int kRead = 0, kSave = 1, kBook = 2;
  RequestNumber send(int request_class, std::uint64_t effect = 1, Time at = milliseconds(0)) {
    return audit.on_sent(at, request_class, 0, effect, at + milliseconds(1000), "key", 0.01);
  }
  int run(RequestNumber r, Time at, bool repeat = false) {
    const int attempt = audit.on_arrived(at, r, host);
    audit.on_begun(at, r, attempt, repeat);
    return attempt;
  }
  std::uint64_t breach_count(int rule) { return audit.breach_count(rule); }
  Check stated_time_check() { return audit.checks().at(0); }
  Check late_attempts_check() { return audit.checks().at(1); }
  Check sent_on_check() { return audit.checks().at(2); }
  Check unanswered_check() { return audit.checks().at(3); }
  // Returns a request whose client leaves at 0.1 s.
  RequestNumber abandoned_request() {
    const auto r = send(kRead);
    audit.on_client_gone(milliseconds(100), r);
    audit.on_excused(milliseconds(100), r, "the client left");
    return r;
  }
  void expect_breaches(std::uint64_t rule1, std::uint64_t rule2, std::uint64_t rule3,
                       std::uint64_t rule4) {
    EXPECT_EQ(breach_count(1), rule1);
    EXPECT_EQ(breach_count(2), rule2);
    EXPECT_EQ(breach_count(3), rule3);
    EXPECT_EQ(breach_count(4), rule4);
  }

  const Scenario scenario = parse_scenario(scenario_text(), "x.toml");
  Auditor audit{scenario};
  const int host = audit.add_host("h0");
  const int other = audit.add_host("h1");
};

TEST_F(AuditorTest, AcceptsAServedRead) {
  const auto r = send(kRead);
  const int a = run(r, milliseconds(1));
  audit.on_made(milliseconds(2), r, a, "value");
  audit.on_reply(milliseconds(3), r, Reply::kServed, "value");
  expect_breaches(0, 0, 0, 0);
}

TEST_F(AuditorTest, RejectsAnAnswerMadeForAnotherRequest) {
  const auto r = send(kRead), q = send(kRead, 2);
  audit.on_made(milliseconds(2), q, run(q, milliseconds(1)), "value");
  run(r, milliseconds(1));
  audit.on_reply(milliseconds(3), r, Reply::kServed, "value");
  expect_breaches(1, 0, 0, 0);
  EXPECT_NE(audit.breaches()[0].story.find("reached h0"), std::string::npos);
}

TEST_F(AuditorTest, RejectsAnAnswerLaterThanTheSlack) {
  const auto r = send(kRead);
  audit.on_reply(milliseconds(1290), r, Reply::kFailed, {});  // within the slack of 300 ms
  expect_breaches(0, 0, 0, 0);
  const auto q = send(kRead);
  audit.on_reply(milliseconds(1301), q, Reply::kFailed, {});
  expect_breaches(1, 0, 0, 0);
}

TEST_F(AuditorTest, AllowsAFurtherUnsafeAttemptOnlyIfTheFirstNeverRan) {
  const auto r = send(kBook);
  const int first = audit.on_arrived(milliseconds(1), r, host);
  audit.on_never_ran(milliseconds(2), r, first, "busy");
  run(r, milliseconds(3));
  expect_breaches(0, 0, 0, 0);
  audit.on_arrived(milliseconds(4), r, other);
  expect_breaches(0, 1, 0, 0);
}

TEST_F(AuditorTest, AllowsRefusingAnUnsafeRequestOnlyIfItNeverRan) {
  const auto r = send(kBook);
  audit.on_never_ran(milliseconds(2), r, audit.on_arrived(milliseconds(1), r, host), "busy");
  audit.on_reply(milliseconds(3), r, Reply::kRefused, {});
  expect_breaches(0, 0, 0, 0);
  const auto q = send(kBook, 2);
  audit.on_arrived(milliseconds(1), q, host);
  audit.on_reply(milliseconds(3), q, Reply::kRefused, {});
  expect_breaches(0, 1, 0, 0);
}

// The client's retry after a refusal has a new id and the same effect.
TEST_F(AuditorTest, CountsAnEffectOverAllTries) {
  const auto r = send(kBook, 7);
  run(r, milliseconds(1));
  const auto again = send(kBook, 7, milliseconds(100));
  run(again, milliseconds(101));
  expect_breaches(0, 1, 0, 0);
}

TEST_F(AuditorTest, AllowsKeyedRepeatsWithinTheDeduplicationWindow) {
  const auto r = send(kSave, 7);
  run(r, milliseconds(1));
  run(r, milliseconds(200), true);
  audit.on_reply(milliseconds(300), r, Reply::kRefused, {});  // harmless: repeats are discarded
  expect_breaches(0, 0, 0, 0);
  const auto late = send(kSave, 7, milliseconds(5100));
  audit.on_arrived(milliseconds(5101), late, host);
  expect_breaches(0, 1, 0, 0);
}

TEST_F(AuditorTest, MeasuresDrainGraceFromTheAnnouncementToTheBalancer) {
  audit.on_told(milliseconds(0), 0, host, true);
  audit.on_arrived(milliseconds(99), send(kRead), host);
  audit.on_arrived(milliseconds(500), send(kRead), other);
  expect_breaches(0, 0, 0, 0);
  audit.on_arrived(milliseconds(101), send(kRead), host);
  expect_breaches(0, 0, 1, 0);
  audit.on_told(milliseconds(600), 0, host, false);
  audit.on_arrived(milliseconds(700), send(kRead), host);
  expect_breaches(0, 0, 1, 0);
  audit.on_told(milliseconds(800), 0, host, true);
  audit.on_balancer_start(0);
  audit.on_arrived(milliseconds(2000), send(kRead), host);
  expect_breaches(0, 0, 1, 0);
}

TEST_F(AuditorTest, CountsAnOverloadIfMostOfItCameFromInformedBalancers) {
  audit.on_told_start(milliseconds(0), 0, host);
  audit.on_pushed_over(milliseconds(100), host, {{0, 1.0}, {1, 2.0}}, "fell over");
  expect_breaches(0, 0, 0, 0);
  audit.on_pushed_over(milliseconds(100), host, {{0, 2.0}, {1, 1.0}}, "fell over");
  expect_breaches(0, 0, 0, 1);
}

TEST_F(AuditorTest, RejectsResendingARequestThatWasRead) {
  const auto unread = send(kRead);
  audit.on_resent(milliseconds(1), unread, 0);
  expect_breaches(0, 0, 0, 0);
  const auto read = send(kRead, 2);
  run(read, milliseconds(1));
  audit.on_resent(milliseconds(2), read, 0);
  expect_breaches(1, 0, 0, 0);
}

// A fifth of the further attempts may state over 0.15 s more than the client has left.
TEST_F(AuditorTest, ChecksTheStatedTimeOfFurtherAttempts) {
  for (int i = 0; i < 10; ++i) {
    const auto r = send(kRead);
    audit.on_arrived(milliseconds(1), r, host, milliseconds(5000));  // a first attempt
    audit.on_arrived(milliseconds(400), r, other, milliseconds(i < 2 ? 751 : 750));
  }
  EXPECT_EQ(stated_time_check().cases, 10u);
  EXPECT_EQ(stated_time_check().broken, 2u);
  EXPECT_FALSE(stated_time_check().failed());
  EXPECT_NE(stated_time_check().example.find("reached h1 at 0.400 s, told 0.751 s"),
            std::string::npos)
      << stated_time_check().example;
  const auto r = send(kRead);
  audit.on_arrived(milliseconds(1), r, host);
  audit.on_arrived(milliseconds(400), r, other);  // it states no time
  EXPECT_FALSE(stated_time_check().failed());
  audit.on_arrived(milliseconds(900), r, other, milliseconds(600));
  EXPECT_EQ(stated_time_check().cases, 12u);
  EXPECT_EQ(stated_time_check().broken, 3u);
  EXPECT_TRUE(stated_time_check().failed());
  expect_breaches(0, 0, 0, 0);
}

// An attempt may begin up to 0.1 s after the close. Two later ones are allowed; the third breaks
// the first rule.
TEST_F(AuditorTest, RejectsTheThirdLateAttemptAfterAClientClosed) {
  for (int i = 0; i < 9; ++i) audit.on_arrived(milliseconds(200), abandoned_request(), host);
  EXPECT_EQ(late_attempts_check().cases, 9u);
  EXPECT_EQ(late_attempts_check().broken, 0u);
  const auto r = send(kRead);
  audit.on_arrived(milliseconds(50), r, host);
  audit.on_client_gone(milliseconds(100), r);
  audit.on_arrived(milliseconds(201), r, other);  // a further attempt
  audit.on_arrived(milliseconds(201), abandoned_request(), host);
  EXPECT_FALSE(late_attempts_check().failed());
  expect_breaches(0, 0, 0, 0);
  audit.on_arrived(milliseconds(201), abandoned_request(), host);
  EXPECT_EQ(late_attempts_check().broken, 3u);
  EXPECT_TRUE(late_attempts_check().failed());
  expect_breaches(1, 0, 0, 0);
  EXPECT_NE(audit.breaches()[0].what.find("0.101 s after its client had gone"), std::string::npos);
}

// The check fails if at least five requests, and over a quarter of those waiting at the close, are
// sent on.
TEST_F(AuditorTest, LimitsWaitingRequestsSentOnAfterTheClose) {
  for (int i = 0; i < 4; ++i) audit.on_arrived(milliseconds(401), abandoned_request(), host);
  EXPECT_EQ(sent_on_check().broken, 4u);
  EXPECT_FALSE(sent_on_check().failed()) << "four are always allowed";
  audit.on_arrived(milliseconds(400), abandoned_request(), host);
  EXPECT_EQ(sent_on_check().broken, 4u);
  const auto tried = send(kRead);
  audit.on_arrived(milliseconds(1), tried, host);
  audit.on_client_gone(milliseconds(100), tried);
  audit.on_arrived(milliseconds(500), tried, other);
  EXPECT_EQ(sent_on_check().cases, 5u) << "it was not waiting for its first attempt";
  EXPECT_EQ(sent_on_check().broken, 4u);
  audit.on_arrived(milliseconds(401), abandoned_request(), host);
  EXPECT_TRUE(sent_on_check().failed()) << "five of six";
  for (int i = 0; i < 14; ++i) abandoned_request();
  EXPECT_FALSE(sent_on_check().failed()) << "five of twenty";
  audit.on_arrived(milliseconds(401), abandoned_request(), host);
  EXPECT_TRUE(sent_on_check().failed()) << "six of twenty-one";
}

// The slack of the scenario is 300 ms, of which the testbed itself needs 20 ms.
TEST_F(AuditorTest, AllowsOneInFiveHundredAndFiveMoreUnansweredRequests) {
  for (int i = 0; i < 494; ++i) audit.on_reply(milliseconds(1280), send(kRead), Reply::kFailed, {});
  for (int i = 0; i < 5; ++i) audit.on_reply(milliseconds(1281), send(kRead), Reply::kFailed, {});
  EXPECT_EQ(unanswered_check().broken, 5u);
  EXPECT_FALSE(unanswered_check().failed());
  expect_breaches(0, 0, 0, 0);
  audit.on_lost(milliseconds(10), send(kRead), "the connection was closed");
  EXPECT_EQ(unanswered_check().cases, 500u);
  EXPECT_EQ(unanswered_check().broken, 6u);
  EXPECT_FALSE(unanswered_check().failed());
  audit.on_excused(milliseconds(1400), send(kRead), "its balancer was killed");
  audit.on_lost(milliseconds(1400), send(kRead), "the client's time was up");
  EXPECT_EQ(unanswered_check().cases, 501u);
  EXPECT_TRUE(unanswered_check().failed());
}

// The arrival of an attempt over a delaying link does not show when it began.
TEST_F(AuditorTest, SkipsDeadlineChecksWhileLinksDelay) {
  const auto r = send(kRead);
  audit.on_arrived(milliseconds(1), r, host, milliseconds(999));
  audit.on_links_delay(milliseconds(800));
  audit.on_links_delay(milliseconds(700));
  audit.on_arrived(milliseconds(799), r, other, milliseconds(999));
  EXPECT_EQ(stated_time_check().cases, 0u);
  audit.on_arrived(milliseconds(800), r, other, milliseconds(999));
  EXPECT_EQ(stated_time_check().broken, 1u);
}

TEST(ToldTimeTest, AcceptsWholeMillisecondsOnly) {
  EXPECT_EQ(told_time("480"), milliseconds(480));
  for (const char* bad : {"", "x", "48x", "4.8", "99999999999999999999"})
    EXPECT_FALSE(told_time(bad)) << bad;
}

TEST_F(AuditorTest, CountsAllBreachesAndKeepsAFew) {
  for (int i = 0; i < 1000; ++i) audit.on_lost(milliseconds(1), send(kRead), "test");
  expect_breaches(1000, 0, 0, 0);
  EXPECT_LE(audit.breaches().size(), 50u);
}

}  // namespace
}  // namespace balancer::testbed

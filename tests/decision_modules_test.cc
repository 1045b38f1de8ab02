// Unit tests of the small decision modules. policy_test.cc and rules_test.cc test their combination
// in the policy.
#include <gtest/gtest.h>

#include <vector>

#include "net/request_window.h"
#include "policy/client_retry_after.h"
#include "policy/fetch_coalescer.h"
#include "policy/hot_key_spread.h"
#include "policy/outcome_table.h"
#include "policy/poll_backoff.h"
#include "policy/retry_policy.h"
#include "policy/service_time_floor.h"
#include "policy/tenant_quota.h"
#include "policy/zone_failure_detector.h"
#include "structures/numbered_values.h"
#include "structures/recent_counts.h"
#include "structures/recent_ids.h"

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- counts by key

// Guards against memory that grows with the number of keys that clients name.
TEST(RecentCountsTest, StoresABoundedNumberOfKeys) {
  RecentCounts counts(seconds(15), Time{0});
  for (std::uint64_t key = 0; key < 10 * RecentCounts::kMaxKeys; ++key) counts.add(key, Time{0});
  EXPECT_LE(counts.size(), RecentCounts::kMaxKeys);
  EXPECT_EQ(counts.total(), 10 * RecentCounts::kMaxKeys);
}

TEST(RecentCountsTest, KeepsAFrequentKeyAmongManyRareOnes) {
  RecentCounts counts(seconds(15), Time{0});
  constexpr std::uint64_t kFrequent = UINT64_MAX, kOneIn = 100;
  std::uint64_t times = 0;
  for (std::uint64_t key = 0; key < 10 * RecentCounts::kMaxKeys; ++key) {
    counts.add(key, Time{0});
    if (key % kOneIn != 0) continue;
    counts.add(kFrequent, Time{0});
    ++times;
  }
  EXPECT_LE(counts.count(kFrequent), times);
  EXPECT_GE(counts.count(kFrequent), times - 2 * counts.total() / RecentCounts::kMaxKeys);
}

TEST(RecentCountsTest, IsExactForFewKeys) {
  RecentCounts counts(seconds(15), Time{0});
  for (int i = 0; i < 5; ++i)
    for (std::uint64_t key = 0; key < RecentCounts::kMaxKeys; ++key) counts.add(key, Time{0});
  EXPECT_EQ(counts.count(3), 5u);
  EXPECT_EQ(counts.size(), RecentCounts::kMaxKeys);
}

// Guards against memory that grows with the time for which the oldest timer is pending.
TEST(NumberedValuesTest, KeepsNothingBehindAnOldValue) {
  NumberedValues<int> values;
  const auto oldest = values.push(1);
  for (int i = 0; i < 1000; ++i) EXPECT_EQ(values.take(values.push(i)), i);
  EXPECT_EQ(values.size(), 1u);
  EXPECT_EQ(values.take(oldest), 1);
  EXPECT_EQ(values.take(oldest), std::nullopt);
}

// ---- service times

// Guards against work for requests that no server can answer in the time that they have left.
TEST(ServiceTimeFloorTest, FindsTimesThatAreTooShort) {
  ServiceTimeFloor floor;
  EXPECT_FALSE(floor.is_too_short(seconds(1), milliseconds(1))) << "nothing is known yet";
  for (int i = 0; i < 500; ++i) floor.on_served(milliseconds(20 + i % 40));
  EXPECT_FALSE(floor.is_too_short(seconds(1), milliseconds(60)));
  EXPECT_FALSE(floor.is_too_short(seconds(1), milliseconds(5))) << "one is let through";
  EXPECT_TRUE(floor.is_too_short(seconds(1), milliseconds(5)));
  EXPECT_FALSE(floor.is_too_short(seconds(1), milliseconds(40)));
}

TEST(ServiceTimeFloorTest, LetsSomeThroughInCaseTheServersHaveBecomeFaster) {
  ServiceTimeFloor floor;
  for (int i = 0; i < 500; ++i) floor.on_served(milliseconds(40));
  int sent = 0;
  for (int ms = 0; ms < 1000; ++ms)
    sent += !floor.is_too_short(seconds(1) + milliseconds(ms), milliseconds(10));
  EXPECT_EQ(sent, 10);
  for (int i = 0; i < 30; ++i) floor.on_served(milliseconds(5));
  EXPECT_FALSE(floor.is_too_short(seconds(3), milliseconds(10)));
  EXPECT_FALSE(floor.is_too_short(seconds(3), milliseconds(10)));
}

// ---- one client's window

TEST(RequestWindowTest, HalvesWithEachRequestThatIsNotServed) {
  RequestWindow window;
  EXPECT_EQ(window.size(), 256u);
  window.on_not_served();
  EXPECT_EQ(window.size(), 128u);
  for (int i = 0; i < 20; ++i) window.on_not_served();
  EXPECT_EQ(window.size(), 4u);
}

TEST(RequestWindowTest, GrowsByOneWithEachServedWindow) {
  RequestWindow window;
  for (int i = 0; i < 20; ++i) window.on_not_served();
  for (int i = 0; i < 4 + 5 + 6; ++i) window.on_served();
  EXPECT_EQ(window.size(), 7u);
}

// ---- ids

TEST(RecentIdsTest, RemembersAnIdForAtLeastOnePeriod) {
  RecentIds ids(10, seconds(30));
  ids.expire(seconds(100));
  ids.insert(1);
  ids.expire(seconds(131));
  EXPECT_TRUE(ids.contains(1));
  ids.expire(seconds(159));
  EXPECT_TRUE(ids.contains(1));
  ids.expire(seconds(162));
  EXPECT_FALSE(ids.contains(1));
}

// ---- outcome table

TEST(OutcomeTableTest, ReportsNeverRanOnlyForResultsThatProveIt) {
  for (const Result result : {Result::kRejected, Result::kConnectFailed, Result::kNotSent,
                              Result::kRedirected, Result::kWithdrawn})
    EXPECT_TRUE(never_ran(result));
  for (const Result result : {Result::kOk, Result::kError, Result::kTimeout, Result::kReset,
                              Result::kCancelled, Result::kMiss})
    EXPECT_FALSE(never_ran(result));
  EXPECT_EQ(outcome_rule(Result::kMiss).state, AttemptState::kMissed);
}

TEST(OutcomeTableTest, SignalsTheHostOnlyForResultsItCaused) {
  for (const Result result :
       {Result::kTimeout, Result::kCancelled, Result::kNotSent, Result::kWithdrawn})
    EXPECT_EQ(outcome_rule(result).host, HostSignal::kNone);
  EXPECT_EQ(outcome_rule(Result::kConnectFailed).host, HostSignal::kFailure);
  EXPECT_EQ(outcome_rule(Result::kReset).host, HostSignal::kError);
  EXPECT_EQ(outcome_rule(Result::kRejected).host, HostSignal::kOverloaded);
  EXPECT_EQ(outcome_rule(Result::kRedirected).host, HostSignal::kInTime);
}

TEST(OutcomeTableTest, ResendsOutsideTheRetryBudgetIfNoHostDidWork) {
  for (const Result result : {Result::kRedirected, Result::kWithdrawn}) {
    EXPECT_EQ(outcome_rule(result).next, NextStep::kResendUnbudgeted);
    EXPECT_TRUE(never_ran(result));
  }
  EXPECT_EQ(outcome_rule(Result::kNotSent).next, NextStep::kRejectOrFail);
}

// ---- Retry-After

TEST(ClientRetryAfterTest, ReturnsAShortDelayForTheShareThatWouldBeAdmitted) {
  EXPECT_EQ(client_retry_after(0.3, milliseconds(100), 0.29, 0.5, seconds(10)), milliseconds(100));
  EXPECT_EQ(client_retry_after(0.3, milliseconds(100), 0.31, 0.5, seconds(10)), seconds(2));
  EXPECT_EQ(client_retry_after(0, milliseconds(100), 0, 0, seconds(10)), seconds(1));
  EXPECT_EQ(client_retry_after(0, milliseconds(100), 0, 0.5, milliseconds(700)), milliseconds(700));
}

// ---- polls of the host list

TEST(PollBackoffTest, DoublesUpToItsMaximumAndResetsAfterAList) {
  PollBackoff backoff(seconds(20));
  EXPECT_EQ(backoff.initial_delay(0.5), seconds(1));
  EXPECT_EQ(backoff.after_rejection(0), milliseconds(125));
  EXPECT_EQ(backoff.after_rejection(0), milliseconds(250));
  for (int i = 0; i < 20; ++i) backoff.after_rejection(0);
  EXPECT_EQ(backoff.after_rejection(0), seconds(1));
  backoff.on_list();
  EXPECT_EQ(backoff.after_rejection(0), milliseconds(125));
}

// ---- fetches of one key

// A client that leaves must not be kept until the fetch of its key ends, which may take seconds.
TEST(FetchCoalescerTest, ForgetsAFollowerThatHasEnded) {
  FetchCoalescer fetches;
  fetches.lead(7, 1);
  const auto second = fetches.follow(7, 2);
  fetches.follow(7, 3);
  fetches.unfollow(7, second);
  EXPECT_EQ(fetches.complete(7, 1), std::vector<RequestId>{3});
  fetches.unfollow(7, second);
}

TEST(FetchCoalescerTest, AllowsOneFetchPerKeyAndReturnsFollowersInOrder) {
  FetchCoalescer fetches;
  EXPECT_FALSE(fetches.has_other_leader(7, 1));
  fetches.lead(7, 1);
  EXPECT_FALSE(fetches.has_other_leader(7, 1)) << "the request is itself the leader";
  EXPECT_TRUE(fetches.has_other_leader(7, 2));
  fetches.follow(7, 2);
  fetches.follow(7, 3);
  EXPECT_TRUE(fetches.complete(7, 2).empty()) << "a follower cannot complete the fetch";
  EXPECT_EQ(fetches.complete(7, 1), (std::vector<RequestId>{2, 3}));
  EXPECT_FALSE(fetches.has_other_leader(7, 2));
  EXPECT_TRUE(fetches.complete(7, 1).empty());
}

// ---- hot keys

TEST(HotKeySpreadTest, SpreadsOnlyKeysWithMoreThanAnOrdinaryShareOfReads) {
  HotKeySpread keys{Time{0}};
  EXPECT_EQ(keys.spread(1, 10), 1u);
  for (std::uint64_t key = 100; key < 600; ++key) keys.on_read(key, Time{0});
  EXPECT_EQ(keys.spread(100, 10), 1u);
  for (int i = 0; i < 500; ++i) keys.on_read(1, Time{0});
  EXPECT_GT(keys.spread(1, 10), 5u);
  EXPECT_EQ(keys.spread(100, 10), 1u);
}

// ---- quotas

TEST(TenantQuotaTest, AdmitsABurstAndThenThisBalancersShareOfTheQuota) {
  TenantQuota quota({20, 20}, 2, Time{0});  // 10 per second at this balancer, 50 in a burst
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += quota.admit(0, Time{0});
  EXPECT_EQ(admitted, 50);
  for (int i = 0; i < 100; ++i) admitted += quota.admit(0, seconds(1));
  EXPECT_EQ(admitted, 60);
  EXPECT_TRUE(quota.admit(1, seconds(1))) << "the other tenant has a quota of its own";
  EXPECT_TRUE(quota.admit(-1, seconds(1))) << "a tenant without a quota";
  EXPECT_TRUE(quota.admit(2, seconds(1))) << "a tenant without a quota";
}

// ---- zones

TEST(ZoneFailureDetectorTest, EjectsAZoneAfterEightConsecutiveFailures) {
  UniformRandom random(1);
  ZoneFailureDetector zones;
  const Time t = seconds(10);
  for (int i = 0; i < 7; ++i) zones.on_outcome(t, 3, ZoneSignal::kUnreachable, random);
  zones.on_outcome(t, 3, ZoneSignal::kReachable, random);
  for (int i = 0; i < 7; ++i) zones.on_outcome(t, 3, ZoneSignal::kUnreachable, random);
  EXPECT_FALSE(zones.is_ejected(t, 3));
  zones.on_outcome(t, 3, ZoneSignal::kNone, random);
  zones.on_outcome(t, 3, ZoneSignal::kUnreachable, random);
  EXPECT_TRUE(zones.is_ejected(t, 3));
  EXPECT_FALSE(zones.is_ejected(t, 4));
  zones.on_outcome(t, 3, ZoneSignal::kReachable, random);
  EXPECT_FALSE(zones.is_ejected(t, 3));
}

// ---- retries

struct RetryPolicyTest : ::testing::Test {
  RetryPolicyTest() : hosts(false, Duration{0}), policy(settings, hosts) {
    HostEntry a, b, c;
    a.id = "a";
    b.id = "b";
    b.cell = 1;
    c.id = "c";
    c.zone = 1;
    hosts.on_list(ListKind::kComplete, {a, b, c});
  }
  void set_class(Idempotency idempotency, DeduplicationScope scope) {
    settings.classes = {{milliseconds(300), seconds(1), idempotency, scope, seconds(10)}};
  }
  // Returns a request with one attempt, at host a, in the given state.
  RequestState attempted(AttemptState state) const {
    RequestState request;
    request.attempts.push_back({*hosts.find("a"), seconds(1), state});
    return request;
  }
  bool may_attempt(const RequestState& request, std::string_view host, Time now) const {
    return policy.may_attempt(request, hosts[*hosts.find(host)], now);
  }

  Settings settings;
  HostRegistry hosts;
  RetryPolicy policy;
};

TEST_F(RetryPolicyTest, RepeatsAKeyedRequestOnlyWithinItsDeduplicationScopeAndWindow) {
  set_class(Idempotency::kIdempotencyKey, DeduplicationScope::kZone);
  const RequestState ran = attempted(AttemptState::kMayHaveRun);
  EXPECT_TRUE(may_attempt(ran, "a", seconds(2)));
  EXPECT_TRUE(may_attempt(ran, "b", seconds(2)));
  EXPECT_FALSE(may_attempt(ran, "c", seconds(2))) << "another zone";
  EXPECT_FALSE(may_attempt(ran, "a", seconds(11))) << "the deduplication window has passed";
  EXPECT_TRUE(may_attempt(attempted(AttemptState::kNeverRan), "c", seconds(20)));
  EXPECT_FALSE(policy.may_reject(ran));
  set_class(Idempotency::kIdempotencyKey, DeduplicationScope::kCell);
  EXPECT_FALSE(may_attempt(ran, "b", seconds(2))) << "another cell";
  set_class(Idempotency::kIdempotencyKey, DeduplicationScope::kAll);
  EXPECT_TRUE(may_attempt(ran, "c", seconds(2)));
  EXPECT_TRUE(policy.may_reject(ran));
}

TEST_F(RetryPolicyTest, RejectsNoKeyedRequestThatMayHaveRunWhereClientsKnowNoWindow) {
  settings.clients_know_windows = false;
  set_class(Idempotency::kIdempotencyKey, DeduplicationScope::kAll);
  EXPECT_FALSE(policy.may_reject(attempted(AttemptState::kMayHaveRun)));
  EXPECT_FALSE(policy.may_reject(attempted(AttemptState::kInFlight)));
  EXPECT_TRUE(policy.may_reject(attempted(AttemptState::kNeverRan)));
}

TEST_F(RetryPolicyTest, NeverRepeatsANonIdempotentRequestThatMayHaveRun) {
  set_class(Idempotency::kNone, DeduplicationScope::kAll);
  EXPECT_FALSE(may_attempt(attempted(AttemptState::kMayHaveRun), "a", seconds(2)));
  EXPECT_FALSE(policy.may_reject(attempted(AttemptState::kMayHaveRun)));
  EXPECT_FALSE(policy.may_reject(attempted(AttemptState::kInFlight)));
  EXPECT_TRUE(may_attempt(attempted(AttemptState::kNeverRan), "a", seconds(2)));
  EXPECT_TRUE(policy.may_reject(attempted(AttemptState::kNeverRan)));
}

TEST_F(RetryPolicyTest, HedgesOnlyIfTheSettingsAllowASecondAttemptInFlight) {
  set_class(Idempotency::kIdempotent, DeduplicationScope::kAll);
  RequestState request = attempted(AttemptState::kInFlight);
  request.objective_at = seconds(3);
  EXPECT_FALSE(may_attempt(request, "b", seconds(2)));
  EXPECT_FALSE(policy.may_hedge(request, seconds(2)));
  settings.hedging = true;
  EXPECT_TRUE(may_attempt(request, "b", seconds(2)));
  EXPECT_TRUE(policy.may_hedge(request, seconds(2)));
  EXPECT_FALSE(policy.may_hedge(request, seconds(3))) << "the latency objective has passed";
}

TEST_F(RetryPolicyTest, LimitsRetriesToATenthOfTheRequestsPlusAReserveOfFive) {
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(policy.has_budget());
    policy.spend_budget();
  }
  EXPECT_FALSE(policy.has_budget());
  for (int i = 0; i < 9; ++i) policy.on_request();
  EXPECT_FALSE(policy.has_budget());
  for (int i = 0; i < 2; ++i) policy.on_request();
  EXPECT_TRUE(policy.has_budget());
}

TEST_F(RetryPolicyTest, CountsAnAttemptAsARetryOnlyAfterOneThatCostAHostWork) {
  EXPECT_FALSE(policy.is_retry(RequestState{}));
  EXPECT_FALSE(policy.is_retry(attempted(AttemptState::kMissed)));
  EXPECT_TRUE(policy.is_retry(attempted(AttemptState::kMayHaveRun)));
  RequestState request = attempted(AttemptState::kMayHaveRun);
  request.attempts[0].was_reset = true;
  EXPECT_TRUE(policy.retries_same_host(request));
  EXPECT_FALSE(policy.is_retry(request));
  request.attempts.push_back(request.attempts[0]);
  EXPECT_FALSE(policy.retries_same_host(request)) << "at most once per request";
  EXPECT_TRUE(policy.is_retry(request));
  request = attempted(AttemptState::kNeverRan);
  request.attempts[0].host_did_no_work = true;
  EXPECT_FALSE(policy.is_retry(request));
}

}  // namespace
}  // namespace balancer

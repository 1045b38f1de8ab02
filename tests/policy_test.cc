#include "policy/policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "fake_sink.h"

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Settings settings() {
  Settings s;
  s.classes = {
      {milliseconds(300), milliseconds(750), Idempotency::kIdempotent, DeduplicationScope::kAll,
       Duration{0}},
      {seconds(1), seconds(5), Idempotency::kIdempotencyKey, DeduplicationScope::kAll, seconds(10)},
      {seconds(1), seconds(5), Idempotency::kNone, DeduplicationScope::kAll, Duration{0}}};
  s.cache_aside = true;
  s.max_attempts = 6;
  s.slow_start = {0.2, seconds(20)};
  s.max_retry_after = seconds(1);
  return s;
}

struct PolicyTest : ::testing::Test {
  explicit PolicyTest(const Settings& s = settings()) : policy(s, 1, seconds(1), sink) {
    policy.on_hosts(seconds(1), ListKind::kComplete, {entry("a"), entry("b"), origin()});
  }
  static HostEntry entry(std::string_view id) {
    HostEntry e;
    e.id = id;
    return e;
  }
  static HostEntry origin() {
    HostEntry e = entry("origin");
    e.is_origin = true;
    return e;
  }
  static Request request(RequestId id, int request_class, bool write, std::string_view key = "k") {
    Request q;
    q.id = id;
    q.request_class = request_class;
    q.key = key;
    q.is_write = write;
    q.time_left = request_class == 0 ? milliseconds(700) : seconds(5);
    return q;
  }
  FakeSink sink;
  Policy policy;
};

// A broken connection says little about its host, so the request is sent once more to the key's
// owner, which has the key cached. After a second reset it is sent to another host, and three
// resets in a row eject the owner.
TEST_F(PolicyTest, RetriesOnceAtTheOwnerAfterAReset) {
  policy.on_request(seconds(2), request(1, 0, false));
  const std::string owner = sink.sent.at(0).host;
  policy.on_outcome(seconds(2), {1, 0, Result::kReset, false});
  ASSERT_EQ(sink.sent.size(), 2u);
  EXPECT_EQ(sink.sent[1].host, owner);
  policy.on_outcome(seconds(2), {1, 1, Result::kReset, false});
  ASSERT_EQ(sink.sent.size(), 3u);
  EXPECT_NE(sink.sent[2].host, owner);
  policy.on_request(seconds(2), request(2, 0, false));
  ASSERT_EQ(sink.sent.size(), 4u);
  EXPECT_EQ(sink.sent[3].host, owner);
  policy.on_outcome(seconds(2), {2, 0, Result::kReset, false});
  ASSERT_EQ(sink.sent.size(), 5u);
  EXPECT_NE(sink.sent[4].host, owner) << "the host was not ejected after three resets in a row";
}

// A read that a later write of its client has overtaken is rejected, whichever way its attempt
// ended; a further attempt would return what the write has left.
TEST_F(PolicyTest, DoesNotRetryAnOvertakenRead) {
  RequestId id = 0;
  for (const Result result :
       {Result::kError, Result::kRejected, Result::kTimeout, Result::kConnectFailed, Result::kReset,
        Result::kNotSent, Result::kRedirected, Result::kWithdrawn}) {
    SCOPED_TRACE(static_cast<int>(result));
    policy.on_request(seconds(2), request(++id, 0, false));
    const std::size_t sent = sink.sent.size(), rejected = sink.rejected.size();
    policy.on_outcome(seconds(2), {id, 0, result, false, true});
    EXPECT_EQ(sink.sent.size(), sent);
    EXPECT_EQ(sink.rejected.size(), rejected + 1);
  }
}

// ---- operators' overrides

std::string other(const std::string& host) { return host == "a" ? "b" : "a"; }

TEST_F(PolicyTest, SendsNoNewAttemptsToAHostThatIsOutOfService) {
  policy.on_request(seconds(2), request(1, 0, false));
  const std::string owner = sink.sent.at(0).host;
  EXPECT_TRUE(policy.set_out_of_service(seconds(2), owner, true));
  EXPECT_TRUE(policy.set_out_of_service(seconds(2), owner, true))
      << "repeating the override has no effect";
  EXPECT_EQ(sink.closed.back(), owner) << "its idle connections were not closed";
  // Attempts in flight at the host may end; the retry is sent to another host.
  policy.on_outcome(seconds(2), {1, 0, Result::kReset, false});
  ASSERT_EQ(sink.sent.size(), 2u);
  EXPECT_EQ(sink.sent[1].host, other(owner));
  // The host leaves the list, returns with a new start, and is part of a complete list.
  HostEntry gone = entry(owner), back = entry(owner);
  gone.state = HostState::kGone;
  back.start = HostStart::exactly(seconds(3));
  policy.on_hosts(seconds(3), ListKind::kChanges, {gone});
  policy.on_hosts(seconds(4), ListKind::kChanges, {back});
  policy.on_hosts(seconds(5), ListKind::kComplete, {entry("a"), entry("b"), origin()});
  for (RequestId id = 2; id < 40; ++id)
    policy.on_request(seconds(6), request(id, 0, false, "k" + std::to_string(id)));
  for (std::size_t i = 2; i < sink.sent.size(); ++i) EXPECT_NE(sink.sent[i].host, owner);
  // One return to service is enough after two requests to take the host out of service.
  EXPECT_TRUE(policy.set_out_of_service(seconds(60), owner, false));
  const auto before = sink.sent.size();
  for (RequestId id = 100; id < 140; ++id)
    policy.on_request(seconds(90), request(id, 0, false, "k" + std::to_string(id)));
  EXPECT_TRUE(std::any_of(sink.sent.begin() + static_cast<std::ptrdiff_t>(before), sink.sent.end(),
                          [&](const auto& s) { return s.host == owner; }));
}

TEST_F(PolicyTest, RejectsOverridesOfUnknownHosts) {
  EXPECT_FALSE(policy.set_out_of_service(seconds(2), "nobody", true));
  EXPECT_FALSE(policy.set_out_of_service(seconds(2), "nobody", false));
  EXPECT_FALSE(policy.set_out_of_service(seconds(2), "origin", true))
      << "the origin is not a cache host";
  EXPECT_TRUE(policy.set_out_of_service(seconds(2), "a", true));
  policy.on_hosts(seconds(3), ListKind::kComplete, {entry("b"), origin()});
  EXPECT_TRUE(policy.set_out_of_service(seconds(4), "a", false)) << "the host has an override";
  EXPECT_TRUE(policy.overrides().contains("a"));
  // The override is removed once the warm-up time after the return to service has passed.
  EXPECT_FALSE(policy.set_out_of_service(seconds(100), "a", true));
  EXPECT_TRUE(policy.overrides().empty());
}

// A host that returns to service goes through slow start regardless of its earlier state, and the
// ejection of its old process does not keep it unused.
TEST_F(PolicyTest, SlowStartsAHostThatReturnsToServiceAndEndsItsEjection) {
  policy.on_request(seconds(2), request(1, 0, false));
  const std::string owner = sink.sent.at(0).host;
  for (RequestId id = 2; id < 8; ++id) {  // ejects the host for the maximum time
    policy.on_request(seconds(2), request(id, 0, false));
    policy.on_outcome(seconds(2), {id, 0, Result::kConnectFailed, false});
  }
  policy.set_out_of_service(seconds(2), owner, true);
  policy.set_out_of_service(seconds(3), owner, false);
  // At a fifth of its capacity the host receives some of its keys, but not all.
  int sent_to_owner = 0, all = 0;
  for (RequestId id = 1000; id < 1400; ++id) {
    const auto before = sink.sent.size();
    const Time now = seconds(3) + milliseconds(5 * static_cast<int>(id - 1000));
    policy.on_request(now, request(id, 0, false, "k" + std::to_string(id)));
    if (sink.sent.size() == before) continue;
    ++all;
    sent_to_owner += sink.sent.back().host == owner;
    policy.on_outcome(now, {id, 0, Result::kOk, false});
  }
  EXPECT_GT(sent_to_owner, 0) << "the host was not used";
  EXPECT_LT(sent_to_owner, all / 4) << "the host was used as if it were warm";
}

// A successor process receives the overrides of its predecessor before it has a host list.
TEST(PolicyOverridesTest, AppliesToHostsThatAreListedLater) {
  FakeSink sink;
  Policy policy(settings(), 1, seconds(1), sink);
  policy.restore(seconds(1), "a", {true, milliseconds(500)});
  policy.on_hosts(seconds(2), ListKind::kComplete,
                  {PolicyTest::entry("a"), PolicyTest::entry("b"), PolicyTest::origin()});
  for (RequestId id = 1; id < 40; ++id)
    policy.on_request(seconds(2), PolicyTest::request(id, 0, false, "k" + std::to_string(id)));
  for (const auto& s : sink.sent) EXPECT_NE(s.host, "a");
  EXPECT_FALSE(sink.sent.empty());
}

// Only hosts that were listed can be overridden, and the number of overrides is limited.
TEST_F(PolicyTest, LimitsTheNumberOfOverrides) {
  int accepted = 0;
  for (int i = 0; i < 6000; ++i) {
    const std::string id = "h" + std::to_string(i);
    policy.on_hosts(seconds(2), ListKind::kComplete, {entry(id), origin()});
    accepted += policy.set_out_of_service(seconds(2), id, true);
  }
  EXPECT_EQ(policy.overrides().size(), static_cast<std::size_t>(accepted));
  EXPECT_EQ(accepted, 4096);
}

// Counts its changes. The cost of each change of a real placement is proportional to its number of
// hosts.
struct CountingPlacement : Placement {
  void insert(const std::vector<PlacedHost>& members) override {
    inserts += members.empty() ? 0 : 1;
  }
  void erase(const std::set<Host>& hosts) override {
    ++erases;
    erased += hosts.size();
  }
  std::uint64_t point(std::string_view) const override { return 0; }
  bool visit_candidates(std::uint64_t, std::uint64_t, CandidateVisitor) const override {
    return false;
  }
  int inserts = 0, erases = 0;
  std::size_t erased = 0;
};

// A list that removes many hosts must not cost quadratic time in their number.
TEST_F(PolicyTest, UpdatesThePlacementOncePerList) {
  CountingPlacement placement;
  Policy large(settings(), 1, seconds(1), sink, &placement);
  std::vector<std::string> ids;
  for (int i = 0; i < 20'000; ++i) ids.push_back("h" + std::to_string(i));
  std::vector<HostEntry> all;
  for (const auto& id : ids) all.push_back(entry(id));
  large.on_hosts(seconds(2), ListKind::kComplete, all);
  EXPECT_EQ(placement.inserts, 1);
  large.on_hosts(seconds(3), ListKind::kComplete, {all.begin(), all.begin() + 5000});
  EXPECT_EQ(placement.erases, 1);
  EXPECT_EQ(placement.erased, 15'000u);
  // A host that joins and leaves within one list is never inserted.
  HostEntry gone = all[6000];
  gone.state = HostState::kGone;
  large.on_hosts(seconds(4), ListKind::kChanges, {all[6000], gone});
  EXPECT_EQ(placement.erases, 1);
  EXPECT_EQ(placement.inserts, 1);
}

// The host table must not grow if hosts are replaced all the time. A host with an attempt in flight
// is kept until the request has ended.
TEST_F(PolicyTest, RemovesHostsThatAreGone) {
  policy.on_request(seconds(2), request(1, 0, false));
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "new-" + std::to_string(i);
    policy.on_hosts(seconds(2), ListKind::kComplete, {entry(id), origin()});
  }
  EXPECT_LE(policy.host_slot_count(), 6u);
  // The late outcome is still attributed to the old host: after the miss the origin is used.
  policy.on_outcome(seconds(2), {1, 0, Result::kMiss, false});
  ASSERT_EQ(sink.sent.size(), 2u);
  EXPECT_EQ(sink.sent[1].host, "origin");
  policy.on_outcome(seconds(2), {1, 1, Result::kOk, false});
  policy.on_request(seconds(2), request(2, 0, false));
  EXPECT_EQ(sink.sent.at(2).host, "new-999");
}

TEST_F(PolicyTest, FetchesAMissFromTheOriginAndSendsFollowersBackToTheCache) {
  policy.on_request(seconds(2), request(1, 0, false));
  policy.on_request(seconds(2), request(2, 0, false));
  const std::string owner = sink.sent[0].host;
  EXPECT_EQ(sink.sent[1].host, owner);
  policy.on_outcome(seconds(2), {1, 0, Result::kMiss, false});
  policy.on_outcome(seconds(2), {2, 0, Result::kMiss, false});
  ASSERT_EQ(sink.sent.size(), 3u);
  EXPECT_EQ(sink.sent[2].host, "origin");
  policy.on_outcome(seconds(2) + milliseconds(50), {1, 1, Result::kOk, true});
  ASSERT_EQ(sink.sent.size(), 4u);
  EXPECT_EQ(sink.sent[3].id, 2u);
  EXPECT_EQ(sink.sent[3].host, owner);
}

TEST_F(PolicyTest, NeitherResendsNorRejectsANonIdempotentWriteThatMayHaveRun) {
  policy.on_request(seconds(2), request(1, 2, true));
  ASSERT_EQ(sink.sent.size(), 1u);
  EXPECT_EQ(sink.sent[0].host, "origin");
  policy.on_outcome(seconds(3), {1, 0, Result::kReset, false});
  EXPECT_EQ(sink.sent.size(), 1u);
  EXPECT_TRUE(sink.rejected.empty());
  EXPECT_EQ(sink.failed.size(), 1u);
}

TEST_F(PolicyTest, AnswersARequestExactlyOnceAtItsDeadline) {
  policy.on_request(seconds(2), request(1, 0, false));
  for (const auto t : std::vector(sink.timers)) policy.on_timer(t.at, t.tag);
  EXPECT_EQ(sink.rejected.size(), 1u);
  policy.on_outcome(seconds(3), {1, 0, Result::kTimeout, true});
  EXPECT_EQ(sink.rejected.size() + sink.failed.size(), 1u);
}

TEST_F(PolicyTest, SendsNoNewAttemptsToDrainingOrRemovedHosts) {
  HostEntry a = entry("a");
  a.state = HostState::kDraining;
  policy.on_hosts(seconds(2), ListKind::kChanges, {a});
  for (RequestId id = 1; id < 40; ++id)
    policy.on_request(seconds(2), request(id, 0, false, std::string(id, 'x')));
  for (const auto& s : sink.sent) EXPECT_EQ(s.host, "b");
  policy.on_hosts(seconds(3), ListKind::kComplete, {});
  const std::size_t before = sink.sent.size();
  policy.on_request(seconds(3), request(99, 0, false));
  EXPECT_EQ(sink.sent.size(), before);
  ASSERT_EQ(sink.rejected.size(), 1u);
  EXPECT_EQ(sink.rejected[0], 99u);
}

// A fleet of ten cache hosts. The owner of a key is determined by sending a request for it.
struct FleetTest : PolicyTest {
  FleetTest() {
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    policy.on_hosts(seconds(1), ListKind::kComplete, entries);
  }
  // Sends one request for `key`. Returns the host of its first attempt, or "" if it was rejected.
  std::string send_request(Time now, std::string_view key) {
    const std::size_t before = sink.sent.size();
    policy.on_request(now, request(++id, 0, false, key));
    return sink.sent.size() > before ? sink.sent.back().host : "";
  }
  void finish_request(Time now, Result result = Result::kOk) {
    policy.on_outcome(now, {id, 0, result, result == Result::kOk});
  }
  void run_timers(Time now) {
    const auto due = std::exchange(sink.timers, {});
    for (const auto& t : due) {
      if (t.at <= now) {
        policy.on_timer(t.at, t.tag);
      } else {
        sink.timers.push_back(t);
      }
    }
  }
  // Sends a request for `key` that is slow and times out at its deadline.
  void time_out_request(Time now, std::string_view key) {
    send_request(now, key);
    run_timers(now + milliseconds(690));
    policy.on_outcome(now + milliseconds(700), {id, 0, Result::kTimeout, false});
  }
  // Sends a request for `key` that is rejected by its cache host. If the request is sent to the
  // origin instead, it is not rejected.
  void reject_request(Time now, std::string_view key) {
    const bool cache = send_request(now, key) != "origin";
    policy.on_outcome(now, {id, 0, cache ? Result::kRejected : Result::kNotSent, true});
  }
  // Returns forty keys that are owned by `owner`.
  std::vector<std::string> keys_owned_by(const std::string& owner) {
    std::vector<std::string> owned;
    for (int i = 0; owned.size() < 40; ++i) {
      const std::string key = "k" + std::to_string(i);
      if (send_request(seconds(3), key) == owner) owned.push_back(key);
      finish_request(seconds(3));
    }
    return owned;
  }
  // Returns how many of these keys are still sent to `owner`.
  int count_still_owned(const std::vector<std::string>& owned, const std::string& owner, Time now) {
    int n = 0;
    for (const auto& key : owned) {
      n += send_request(now, key) == owner;
      finish_request(now, Result::kNotSent);  // provides no latency sample
    }
    return n;
  }
  const std::vector<std::string> ids = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
  RequestId id = 1000;
};

TEST_F(FleetTest, SpreadsAHotKeyAndKeepsOtherKeysAtTheirOwner) {
  std::set<std::string> hot, cold;
  for (int i = 0; i < 200; ++i) {
    const Time now = seconds(2) + milliseconds(10 * i);
    hot.insert(send_request(now, "hot"));
    finish_request(now);
    send_request(now, "other" + std::to_string(i));
    finish_request(now);
    if (i % 40 == 0) {
      cold.insert(send_request(now, "cold"));
      finish_request(now);
    }
  }
  EXPECT_GE(hot.size(), 5u);
  EXPECT_EQ(cold.size(), 1u);
}

TEST_F(FleetTest, SkipsAHostWithAStalledAttemptUntilItEnds) {
  const std::string owner = send_request(seconds(2), "k");
  const RequestId stalled_id = id;
  EXPECT_EQ(send_request(seconds(2) + milliseconds(100), "k"), owner);
  finish_request(seconds(2) + milliseconds(110));
  EXPECT_NE(send_request(seconds(2) + milliseconds(200), "k"), owner);
  finish_request(seconds(2) + milliseconds(210));
  policy.on_outcome(seconds(2) + milliseconds(220), {stalled_id, 0, Result::kOk, true});
  EXPECT_EQ(send_request(seconds(2) + milliseconds(230), "k"), owner);
}

TEST_F(FleetTest, ShedsKeysOfASlowHostAndReturnsThemAfterItsRecovery) {
  const std::string owner = send_request(seconds(2), "k0");
  finish_request(seconds(2));
  const auto owned = keys_owned_by(owner);
  for (int i = 0; i < 2; ++i) {
    time_out_request(seconds(4 + i), owned[0]);
    for (int n = 0; n < 10; ++n) {  // all other hosts are fast
      send_request(seconds(5 + i), "o" + std::to_string(n));
      finish_request(seconds(5 + i),
                     sink.sent.back().host == owner ? Result::kNotSent : Result::kOk);
    }
  }
  EXPECT_LT(count_still_owned(owned, owner, seconds(6)), 30);
  EXPECT_EQ(count_still_owned(owned, owner, seconds(400)), 40);
}

TEST_F(FleetTest, ShedsKeysOfAHostThatRejectsRequests) {
  const std::string owner = send_request(seconds(2), "k0");
  finish_request(seconds(2));
  const auto owned = keys_owned_by(owner);
  reject_request(seconds(4), owned[0]);
  EXPECT_LT(count_still_owned(owned, owner, seconds(5)), 30);
}

// Places every key on the first host, with the other hosts as replicas.
struct PinnedPlacement : Placement {
  void insert(const std::vector<PlacedHost>& members) override {
    for (const PlacedHost& m : members) hosts.push_back(m.host);
  }
  void erase(const std::set<Host>&) override {}
  std::uint64_t point(std::string_view key) const override {
    return std::hash<std::string_view>()(key);
  }
  bool keys_are_sticky() const override { return true; }
  bool visit_candidates(std::uint64_t, std::uint64_t, CandidateVisitor accept) const override {
    for (const Host h : hosts)
      if (accept(h)) return true;
    return false;
  }
  std::vector<Host> hosts;
};

struct StickyKeysTest : ::testing::Test {
  // Lets the first host reject four requests, then sends 50 requests for each of eight keys.
  // Returns the number of requests that were sent to a host, by key.
  std::map<std::string, int> served_by_key(int hosts) {
    Settings s = settings();
    s.cache_aside = false;
    FakeSink sink;
    PinnedPlacement placement;
    Policy policy(s, 1, seconds(1), sink, &placement);
    std::vector<HostEntry> entries = {PolicyTest::entry("a"), PolicyTest::entry("b")};
    entries.resize(static_cast<std::size_t>(hosts));
    policy.on_hosts(seconds(1), ListKind::kComplete, entries);
    RequestId id = 0;
    const auto send_request = [&](Time now, const std::string& key, Result result) {
      const std::size_t before = sink.sent.size();
      policy.on_request(now, PolicyTest::request(++id, 0, false, key));
      if (sink.sent.size() == before) return false;
      // Host "a" rejects the requests it receives.
      const bool full = result == Result::kRejected && sink.sent.back().host == "a";
      policy.on_outcome(now, {id, 0, full ? result : Result::kNotSent, true});
      return true;
    };
    for (int i = 0; i < 4; ++i) send_request(seconds(2), "slow", Result::kRejected);
    std::map<std::string, int> served;
    for (int round = 0; round < 50; ++round)
      for (int k = 0; k < 8; ++k) {
        const std::string key = "k" + std::to_string(k);
        served[key] += send_request(seconds(3), key, Result::kNotSent);
      }
    return served;
  }
};

TEST_F(StickyKeysTest, SharesAnOverloadedHostsCapacityAmongAllItsKeys) {
  for (const auto& [key, n] : served_by_key(1)) {
    EXPECT_GT(n, 0) << key << " was rejected each time";
    EXPECT_LT(n, 50) << key;
  }
}

TEST_F(StickyKeysTest, RejectsNoRequestsIfAReplicaCanAnswer) {
  for (const auto& [key, n] : served_by_key(2)) EXPECT_EQ(n, 50) << key;
}

// A fleet of 600 cache hosts in two zones.
struct LargeFleetTest : FleetTest {
  LargeFleetTest() {
    std::vector<HostEntry> entries = {origin()};
    for (int i = 0; i < 600; ++i) names.push_back((i % 2 ? "north" : "south") + std::to_string(i));
    for (const std::string& name : names) {
      entries.push_back(entry(name));
      entries.back().zone = name[0] == 'n';
    }
    policy.on_hosts(seconds(1), ListKind::kComplete, entries);
  }
  std::vector<std::string> names;
};

TEST_F(LargeFleetTest, EjectsAPartitionedZoneUntilOneOfItsHostsAnswers) {
  const auto north_of_100 = [&](Time now, const std::string& prefix, Result result) {
    int north = 0;
    for (int i = 0; i < 100; ++i) {
      const std::string host = send_request(now, prefix + std::to_string(i));
      north += host[0] == 'n';
      policy.on_outcome(now, {id, 0, host[0] == 'n' ? result : Result::kOk, true});
    }
    return north;
  };
  RequestId pending = 0;
  for (int i = 0; pending == 0; ++i) {
    if (send_request(seconds(2), "p" + std::to_string(i))[0] == 'n') pending = id;
  }
  EXPECT_EQ(north_of_100(seconds(2), "k", Result::kConnectFailed), 8);
  EXPECT_EQ(north_of_100(seconds(2), "l", Result::kConnectFailed), 0);
  policy.on_outcome(seconds(2), {pending, 0, Result::kOk, true});
  EXPECT_GT(north_of_100(seconds(2), "m", Result::kOk), 30);
}

TEST_F(LargeFleetTest, LimitsReadsOfTheCachesWhileMostAnswersAreSlow) {
  Time now = seconds(2);
  // No host receives enough requests for its own outlier detector to react.
  int sent_to_caches = 0;
  for (int i = 0; i < 120; ++i) {
    const std::size_t before = sink.sent.size();
    time_out_request(now += seconds(1), "k" + std::to_string(i));
    const bool to_cache = sink.sent.size() > before && sink.sent[before].host != "origin";
    if (i >= 60) sent_to_caches += to_cache;
  }
  EXPECT_LT(sent_to_caches, 30);
  EXPECT_GT(sent_to_caches, 5);
  const auto not_sent_to_caches = [&](const std::string& prefix) {
    int n = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string host = send_request(now += seconds(1), prefix + std::to_string(i));
      n += host.empty() || host == "origin";
      finish_request(now);
    }
    return n;
  };
  EXPECT_GT(not_sent_to_caches("l"), 0);
  EXPECT_EQ(not_sent_to_caches("m"), 0);  // the caches have recovered
}

TEST_F(LargeFleetTest, ClosesIdleConnectionsWhileManyConnectionAttemptsFail) {
  Time now = seconds(2);
  for (int i = 0; i < 20; ++i) {
    send_request(now, "k" + std::to_string(i));
    finish_request(now);
  }
  EXPECT_TRUE(sink.closed.empty());
  for (int i = 0; i < 4; ++i) {
    send_request(now, "l" + std::to_string(i));
    policy.on_outcome(now, {id, 0, Result::kConnectFailed, true});
  }
  sink.closed.clear();
  // The connection of a host becomes idle only after the last answer.
  const std::string host = send_request(now, "m");
  EXPECT_EQ(send_request(now, "m"), host);
  finish_request(now);
  EXPECT_TRUE(sink.closed.empty());
  --id;
  finish_request(now);
  EXPECT_EQ(sink.closed, std::vector<std::string>{host});
  for (int i = 0; i < 100; ++i) {
    send_request(now, "n" + std::to_string(i));
    finish_request(now);
  }
  sink.closed.clear();
  send_request(now, "o");
  finish_request(now);
  EXPECT_TRUE(sink.closed.empty());
}

TEST_F(FleetTest, ShedsAShareOfAHotKeysRequestsAtEachOverloadedHost) {
  Time now = seconds(2);
  for (int i = 0; i < 400; ++i) {
    send_request(now += milliseconds(5), "hot");
    finish_request(now);
  }
  for (int i = 0; i < 40; ++i) reject_request(now += milliseconds(5), "k" + std::to_string(i));
  std::set<std::string> hosts_used;
  int not_sent_to_caches = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string host = send_request(now += milliseconds(1), "hot");
    if (host.empty() || host == "origin") {
      ++not_sent_to_caches;
    } else {
      hosts_used.insert(host);
    }
    if (!host.empty()) finish_request(now, Result::kNotSent);
  }
  EXPECT_GE(hosts_used.size(), 9u);
  EXPECT_GT(not_sent_to_caches, 0);
  EXPECT_LT(not_sent_to_caches, 380);
}

TEST_F(FleetTest, FetchesFromTheOriginWhenAllHostsRejectAndAllFetchesAreAdmitted) {
  Time now = seconds(2);
  const auto send_to_all = [&](const std::string& prefix) {
    std::pair<int, int> rejected_and_bypassed;
    for (int i = 0; i < 100; ++i) {
      const std::string host = send_request(now += milliseconds(1), prefix + std::to_string(i));
      rejected_and_bypassed.first += host.empty();
      rejected_and_bypassed.second += host == "origin";
      finish_request(now, Result::kNotSent);  // provides no latency sample
    }
    return rejected_and_bypassed;
  };
  for (int i = 0; i < 100; ++i) reject_request(now += milliseconds(1), "k" + std::to_string(i));
  const auto [rejected_count, bypassed_count] = send_to_all("q");
  EXPECT_EQ(rejected_count, 0);
  EXPECT_GT(bypassed_count, 40);
  // Now the origin is slow too: fetches that take two seconds lower its admit fraction.
  for (int i = 0; i < 40; ++i) {
    send_request(now += milliseconds(1), "m" + std::to_string(i));
    if (sink.sent.back().host == "origin") {
      policy.on_outcome(now + seconds(2), {id, 0, Result::kOk, true});
      now += seconds(2);
    } else {
      policy.on_outcome(now, {id, 0, Result::kRejected, true});
    }
  }
  const auto [rejected_while_limited, bypassed_while_limited] = send_to_all("r");
  EXPECT_GT(rejected_while_limited, 40);
  EXPECT_EQ(bypassed_while_limited, 0);
}

// Requests that the origin does not admit: the share of clients that would be admitted is asked to
// retry within the latency objective, the others after the overload. No Retry-After lies between
// the two, where a retry would be too late for the objective and still find the overload.
TEST_F(FleetTest, SendsAShortRetryAfterToTheShareOfClientsThatWouldBeAdmitted) {
  Settings settings_with_long_retry_after = settings();
  settings_with_long_retry_after.max_retry_after = seconds(60);
  Policy policy_under_test(settings_with_long_retry_after, 7, seconds(1), sink);
  std::vector<HostEntry> entries = {origin()};
  for (const std::string& name : ids) entries.push_back(entry(name));
  policy_under_test.on_hosts(seconds(1), ListKind::kComplete, entries);
  for (const double admit_fraction : {0.1, 0.5, 0.9}) {
    policy_under_test.restore(seconds(2), {0, admit_fraction, 1, {}});
    sink.retry_afters.clear();
    RequestId next_id = 1000 * static_cast<RequestId>(10 * admit_fraction);
    for (int i = 0; i < 400; ++i) {
      ++next_id;
      policy_under_test.on_request(seconds(2),
                                   request(next_id, 0, false, "c" + std::to_string(next_id)));
      policy_under_test.on_outcome(seconds(2), {next_id, 0, Result::kMiss, false});
    }
    const auto soon = std::count_if(sink.retry_afters.begin(), sink.retry_afters.end(),
                                    [](Duration w) { return w < milliseconds(300); });
    const auto between =
        std::count_if(sink.retry_afters.begin(), sink.retry_afters.end(),
                      [](Duration w) { return w >= milliseconds(300) && w < milliseconds(750); });
    ASSERT_GT(sink.retry_afters.size(), 100u);
    const double share = static_cast<double>(soon) / static_cast<double>(sink.retry_afters.size());
    EXPECT_NEAR(share, admit_fraction, 0.1);
    EXPECT_EQ(between, 0) << "too late for the latency objective, and too early after an overload";
    EXPECT_LE(*std::max_element(sink.retry_afters.begin(), sink.retry_afters.end()), seconds(3));
  }
}

// If a miss arrives so late that a fetch of the target duration would exceed the latency objective,
// it is not fetched while only a part of the fetches is admitted. It is fetched while all are
// admitted.
TEST_F(FleetTest, RejectsLateFetchesWhileNotAllAreAdmitted) {
  for (const double admit_fraction : {1.0, 0.6}) {
    Policy policy_under_test(settings(), 7, seconds(1), sink);
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    policy_under_test.on_hosts(seconds(1), ListKind::kComplete, entries);
    policy_under_test.restore(seconds(2), {0, admit_fraction, 1, {}});
    const auto fetched = [&](RequestId next_id, Duration miss_takes) {
      const auto before = sink.sent.size();
      policy_under_test.on_request(seconds(2),
                                   request(next_id, 0, false, "d" + std::to_string(next_id)));
      policy_under_test.on_outcome(seconds(2) + miss_takes, {next_id, 0, Result::kMiss, false});
      return sink.sent.size() == before + 2 && sink.sent.back().host == "origin";
    };
    EXPECT_TRUE(fetched(1, milliseconds(100)));
    // 160 ms have passed of the objective of 300 ms, and the target of a fetch is 150 ms.
    EXPECT_EQ(fetched(2, milliseconds(160)), admit_fraction == 1.0);
  }
}

TEST_F(FleetTest, RetriesAtTheOriginWhileItAdmitsAllAndOtherwiseAtCachesWithinTheBudget) {
  // Sends requests for 300 keys while all cache hosts fail. Returns the number of further attempts
  // at caches and at the origin.
  const auto fail_all = [&](Time from, const std::string& prefix, Duration origin_takes) {
    std::pair<int, int> caches_and_origin;
    for (int i = 0; i < 300; ++i) {
      const Time now = from + milliseconds(10 * i);
      const std::size_t first = sink.sent.size();
      send_request(now, prefix + std::to_string(i));
      for (std::size_t at = first; at < sink.sent.size(); ++at) {
        const bool from_origin = sink.sent[at].host == "origin";
        const int attempt = static_cast<int>(at - first);
        if (attempt > 0) ++(from_origin ? caches_and_origin.second : caches_and_origin.first);
        policy.on_outcome(now + (from_origin ? origin_takes : Duration{0}),
                          {id, attempt, from_origin ? Result::kOk : Result::kError, from_origin});
      }
    }
    return caches_and_origin;
  };
  const auto [caches, origin_while_open] = fail_all(seconds(2), "k", milliseconds(10));
  EXPECT_EQ(caches, 0);
  EXPECT_EQ(origin_while_open, 300);
  fail_all(seconds(6), "l", seconds(2));  // lowers the admit fraction of the origin
  const auto [caches_while_limited, origin_while_limited] = fail_all(seconds(10), "m", seconds(2));
  EXPECT_GT(caches_while_limited, 20);
  EXPECT_LE(caches_while_limited, 36);
  EXPECT_EQ(origin_while_limited, 0);
}

TEST_F(FleetTest, LimitsTheKeysAndWorkOfAHostInSlowStart) {
  std::vector<std::string> owners;
  Time now = seconds(2);
  for (int i = 0; i < 400; ++i) {
    owners.push_back(send_request(now += milliseconds(5), "k" + std::to_string(i)));
    finish_request(now);
  }
  HostEntry a = entry("a");
  a.start = HostStart::exactly(now);
  policy.on_hosts(now, ListKind::kChanges, {a});
  int before = 0, after = 0, foreign_keys = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string host = send_request(now += milliseconds(5), "k" + std::to_string(i));
    finish_request(now);
    before += owners[i] == "a";
    after += host == "a";
    foreign_keys += host == "a" && owners[i] != "a";
  }
  EXPECT_GT(before, 20);
  EXPECT_GT(after, 0);
  EXPECT_LT(after, before / 2);
  EXPECT_EQ(foreign_keys, 0);
}

TEST_F(FleetTest, RejectsRequestsBeyondATenantsQuotaOnlyUnderOverload) {
  Settings with_quota = settings();
  with_quota.tenant_quotas = {1, 100};
  Policy quota_policy(with_quota, 1, seconds(1), sink);
  std::vector<HostEntry> entries = {origin()};
  for (const std::string& name : ids) entries.push_back(entry(name));
  quota_policy.on_hosts(seconds(1), ListKind::kComplete, entries);
  const auto rejected_count = [&](Time now, int tenant) {
    const std::size_t before = sink.rejected.size();
    for (int i = 0; i < 20; ++i) {
      const std::string key(static_cast<std::size_t>(i + 1), 'k');
      Request q = request(++id, 0, false, key);
      q.tenant = tenant;
      quota_policy.on_request(now, q);
    }
    return sink.rejected.size() - before;
  };
  EXPECT_EQ(rejected_count(seconds(2), 0), 0u);
  int slow = 0;
  for (const auto& t : std::exchange(sink.timers, {}))
    if (t.at < seconds(2) + milliseconds(600) && slow++ < 12) quota_policy.on_timer(t.at, t.tag);
  EXPECT_GT(rejected_count(seconds(3), 0), 15u);
  EXPECT_LT(rejected_count(seconds(3), 1), 15u);
}

// If one balancer of ten receives five times its equal share of all traffic, its share of each
// tenant's quota is scaled up by the same factor. A burst of the tenant itself does not raise it.
TEST_F(FleetTest, ScalesATenantsQuotaWithTheLocalTrafficOfOtherTenants) {
  for (const auto& [others, own, least, most] :
       {std::tuple{500, 4, 0, 6}, std::tuple{50, 4, 20, 40}, std::tuple{50, 40, 300, 400}}) {
    Settings with_quota = settings();
    with_quota.balancers = 10;
    with_quota.tenant_quotas = {10, 1000};
    Policy quota_policy(with_quota, 1, seconds(1), sink);
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    quota_policy.on_hosts(seconds(1), ListKind::kComplete, entries);
    int rejected_count = 0;
    const auto send_for_tenant = [&](Time now, int tenant, bool slow) {
      const std::size_t before = sink.rejected.size();
      // The key must outlive the request, which only refers to it.
      const std::string key = "k" + std::to_string(++id);
      Request q = request(id, 0, false, key);
      q.tenant = tenant;
      quota_policy.on_request(now, q);
      if (sink.rejected.size() > before) return false;
      const bool cache = sink.sent.back().host != "origin";
      quota_policy.on_outcome(now, {id, 0, slow && cache ? Result::kRejected : Result::kOk, true});
      return true;
    };
    // Half of the answers of cache hosts are rejections, so that the fleet is overloaded
    // throughout.
    for (int ms = 0; ms < 20'000; ++ms) {
      const Time now = seconds(2) + milliseconds(ms);
      if (ms % (1000 / others) == 0) send_for_tenant(now, 1, ms / (1000 / others) % 2 == 0);
      if (ms % (1000 / own) == 0 && !send_for_tenant(now, 0, false)) rejected_count += ms >= 10'000;
    }
    EXPECT_GE(rejected_count, least) << others << " requests/s of others, own requests/s: " << own;
    EXPECT_LE(rejected_count, most) << others << " requests/s of others, own requests/s: " << own;
  }
}

}  // namespace
}  // namespace balancer

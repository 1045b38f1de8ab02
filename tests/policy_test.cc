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
    e.origin = true;
    return e;
  }
  static Request request(RequestId id, int request_class, bool write, std::string_view key = "k") {
    Request q;
    q.id = id;
    q.request_class = request_class;
    q.key = key;
    q.write = write;
    q.time_left = request_class == 0 ? milliseconds(700) : seconds(5);
    return q;
  }
  FakeSink sink;
  Policy policy;
};

// A connection that breaks says little of its host: the key's owner, which has the key, is asked
// once more. A second break sends the request on, and three in a row eject the host.
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
  EXPECT_NE(sink.sent[4].host, owner) << "three in a row, and not ejected";
}

// ---- operators' words on hosts

std::string other(const std::string& host) { return host == "a" ? "b" : "a"; }

TEST_F(PolicyTest, SendsNothingNewToAHostOutOfServiceWhateverListsSay) {
  policy.on_request(seconds(2), request(1, 0, false));
  const std::string owner = sink.sent.at(0).host;
  EXPECT_TRUE(policy.on_maintenance(seconds(2), owner, true));
  EXPECT_TRUE(policy.on_maintenance(seconds(2), owner, true)) << "twice is once";
  EXPECT_EQ(sink.closed.back(), owner) << "its idle connections are kept";
  // What is out there may end; the retry goes elsewhere.
  policy.on_outcome(seconds(2), {1, 0, Result::kReset, false});
  ASSERT_EQ(sink.sent.size(), 2u);
  EXPECT_EQ(sink.sent[1].host, other(owner));
  // Off the list, on it again with a new start, and by a whole list.
  HostEntry gone = entry(owner), back = entry(owner);
  gone.state = HostState::kGone;
  back.start = HostStart::exactly(seconds(3));
  policy.on_hosts(seconds(3), ListKind::kChanges, {gone});
  policy.on_hosts(seconds(4), ListKind::kChanges, {back});
  policy.on_hosts(seconds(5), ListKind::kComplete, {entry("a"), entry("b"), origin()});
  for (RequestId id = 2; id < 40; ++id)
    policy.on_request(seconds(6), request(id, 0, false, "k" + std::to_string(id)));
  for (std::size_t i = 2; i < sink.sent.size(); ++i) EXPECT_NE(sink.sent[i].host, owner);
  // Out twice, back once is back.
  EXPECT_TRUE(policy.on_maintenance(seconds(60), owner, false));
  const auto before = sink.sent.size();
  for (RequestId id = 100; id < 140; ++id)
    policy.on_request(seconds(90), request(id, 0, false, "k" + std::to_string(id)));
  EXPECT_TRUE(std::any_of(sink.sent.begin() + static_cast<std::ptrdiff_t>(before), sink.sent.end(),
                          [&](const auto& s) { return s.host == owner; }));
}

TEST_F(PolicyTest, RejectsOverridesOfUnknownHosts) {
  EXPECT_FALSE(policy.on_maintenance(seconds(2), "nobody", true));
  EXPECT_FALSE(policy.on_maintenance(seconds(2), "nobody", false));
  EXPECT_FALSE(policy.on_maintenance(seconds(2), "origin", true)) << "that is no cache host";
  EXPECT_TRUE(policy.on_maintenance(seconds(2), "a", true));
  policy.on_hosts(seconds(3), ListKind::kComplete, {entry("b"), origin()});
  EXPECT_TRUE(policy.on_maintenance(seconds(4), "a", false)) << "an operator knows it";
  EXPECT_TRUE(policy.overrides().contains("a"));
  // Once it cannot be cold any more nothing of it is kept.
  EXPECT_FALSE(policy.on_maintenance(seconds(100), "a", true));
  EXPECT_TRUE(policy.overrides().empty());
}

// On its return it is cold, whatever it was before, and what was learnt of the old process does not
// keep it unused.
TEST_F(PolicyTest, SlowStartsAHostThatReturnsToServiceAndEndsItsEjection) {
  policy.on_request(seconds(2), request(1, 0, false));
  const std::string owner = sink.sent.at(0).host;
  for (RequestId id = 2; id < 8; ++id) {  // ejected, for as long as it can be
    policy.on_request(seconds(2), request(id, 0, false));
    policy.on_outcome(seconds(2), {id, 0, Result::kConnectFailed, false});
  }
  policy.on_maintenance(seconds(2), owner, true);
  policy.on_maintenance(seconds(3), owner, false);
  // At a fifth of its capacity it gets some of its keys and not all.
  int there = 0, all = 0;
  for (RequestId id = 1000; id < 1400; ++id) {
    const auto before = sink.sent.size();
    const Time now = seconds(3) + milliseconds(5 * static_cast<int>(id - 1000));
    policy.on_request(now, request(id, 0, false, "k" + std::to_string(id)));
    if (sink.sent.size() == before) continue;
    ++all;
    there += sink.sent.back().host == owner;
    policy.on_outcome(now, {id, 0, Result::kOk, false});
  }
  EXPECT_GT(there, 0) << "unused";
  EXPECT_LT(there, all / 4) << "as if it were warm";
}

// A process that takes another's place is told its words before it has a list.
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

// Words on hosts are bounded by the hosts that were ever listed, and by a number.
TEST_F(PolicyTest, BoundsTheNumberOfOverrides) {
  int taken = 0;
  for (int i = 0; i < 6000; ++i) {
    const std::string id = "h" + std::to_string(i);
    policy.on_hosts(seconds(2), ListKind::kComplete, {entry(id), origin()});
    taken += policy.on_maintenance(seconds(2), id, true);
  }
  EXPECT_EQ(policy.overrides().size(), static_cast<std::size_t>(taken));
  EXPECT_EQ(taken, 4096);
}

// Counts how often it is changed, which costs it as much as it has hosts.
struct CountingPlacement : Placement {
  void insert(const std::vector<PlacedHost>& members) override {
    inserts += members.empty() ? 0 : 1;
  }
  void erase(const std::set<Host>& hosts) override {
    ++erases;
    erased += hosts.size();
  }
  std::uint64_t point(std::string_view) const override { return 0; }
  bool walk(std::uint64_t, std::uint64_t, Accept) const override { return false; }
  int inserts = 0, erases = 0;
  std::size_t erased = 0;
};

// A list that takes many hosts away must not cost the square of their number.
TEST_F(PolicyTest, ChangesThePlacementOnceForAList) {
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
  // Joined and gone in one list: it never had a place.
  HostEntry gone = all[6000];
  gone.state = HostState::kGone;
  large.on_hosts(seconds(4), ListKind::kChanges, {all[6000], gone});
  EXPECT_EQ(placement.erases, 1);
  EXPECT_EQ(placement.inserts, 1);
}

// Hosts that are always new must not make the table of hosts grow; one that a request still names
// stays until that has ended.
TEST_F(PolicyTest, ForgetsHostsThatAreGone) {
  policy.on_request(seconds(2), request(1, 0, false));
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "new-" + std::to_string(i);
    policy.on_hosts(seconds(2), ListKind::kComplete, {entry(id), origin()});
  }
  EXPECT_LE(policy.host_slot_count(), 6u);
  // The late outcome is still that of the old host: a miss there leads to the origin.
  policy.on_outcome(seconds(2), {1, 0, Result::kMiss, false});
  ASSERT_EQ(sink.sent.size(), 2u);
  EXPECT_EQ(sink.sent[1].host, "origin");
  policy.on_outcome(seconds(2), {1, 1, Result::kOk, false});
  policy.on_request(seconds(2), request(2, 0, false));
  EXPECT_EQ(sink.sent.at(2).host, "new-999");
}

TEST_F(PolicyTest, FetchesAMissFromTheOriginAndSendsFollowersToTheCacheAgain) {
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

TEST_F(PolicyTest, AnswersEveryRequestAtItsDeadlineAndOnlyOnce) {
  policy.on_request(seconds(2), request(1, 0, false));
  for (const auto t : std::vector(sink.timers)) policy.on_timer(t.at, t.tag);
  EXPECT_EQ(sink.rejected.size(), 1u);
  policy.on_outcome(seconds(3), {1, 0, Result::kTimeout, true});
  EXPECT_EQ(sink.rejected.size() + sink.failed.size(), 1u);
}

TEST_F(PolicyTest, SendsNothingNewToAHostThatDrainsOrIsGone) {
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

// Ten caches, of which each key's owner and the next points are found by asking.
struct FleetTest : PolicyTest {
  FleetTest() {
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    policy.on_hosts(seconds(1), ListKind::kComplete, entries);
  }
  // Sends one request for `key` and returns where it went, or "" where it was refused.
  std::string ask(Time now, std::string_view key) {
    const std::size_t before = sink.sent.size();
    policy.on_request(now, request(++id, 0, false, key));
    return sink.sent.size() > before ? sink.sent.back().host : "";
  }
  void answer(Time now, Result result = Result::kOk) {
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
  // Lets the next request for `key` be slow until its deadline.
  void be_slow(Time now, std::string_view key) {
    ask(now, key);
    run_timers(now + milliseconds(690));
    policy.on_outcome(now + milliseconds(700), {id, 0, Result::kTimeout, false});
  }
  // Lets the next request for `key` find its host full; the origin, if it goes there, is not.
  void be_full(Time now, std::string_view key) {
    const bool cache = ask(now, key) != "origin";
    policy.on_outcome(now, {id, 0, cache ? Result::kRejected : Result::kNotSent, true});
  }
  // Forty keys that go to `owner`.
  std::vector<std::string> owned_by(const std::string& owner) {
    std::vector<std::string> owned;
    for (int i = 0; owned.size() < 40; ++i) {
      const std::string key = "k" + std::to_string(i);
      if (ask(seconds(3), key) == owner) owned.push_back(key);
      answer(seconds(3));
    }
    return owned;
  }
  // How many of them still do.
  int kept(const std::vector<std::string>& owned, const std::string& owner, Time now) {
    int n = 0;
    for (const auto& key : owned) {
      n += ask(now, key) == owner;
      answer(now, Result::kNotSent);  // says nothing of its speed
    }
    return n;
  }
  const std::vector<std::string> ids = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
  RequestId id = 1000;
};

TEST_F(FleetTest, SpreadsAHotKeyAndLeavesOthersWithTheirOwner) {
  std::set<std::string> hot, cold;
  for (int i = 0; i < 200; ++i) {
    const Time now = seconds(2) + milliseconds(10 * i);
    hot.insert(ask(now, "hot"));
    answer(now);
    ask(now, "other" + std::to_string(i));
    answer(now);
    if (i % 40 == 0) {
      cold.insert(ask(now, "cold"));
      answer(now);
    }
  }
  EXPECT_GE(hot.size(), 5u);
  EXPECT_EQ(cold.size(), 1u);
}

TEST_F(FleetTest, PassesOverAHostWithAStalledAttemptUntilItEnds) {
  const std::string owner = ask(seconds(2), "k");
  const RequestId stuck = id;
  EXPECT_EQ(ask(seconds(2) + milliseconds(100), "k"), owner);
  answer(seconds(2) + milliseconds(110));
  EXPECT_NE(ask(seconds(2) + milliseconds(200), "k"), owner);
  answer(seconds(2) + milliseconds(210));
  policy.on_outcome(seconds(2) + milliseconds(220), {stuck, 0, Result::kOk, true});
  EXPECT_EQ(ask(seconds(2) + milliseconds(230), "k"), owner);
}

TEST_F(FleetTest, MovesAPartOfASlowHostsKeysAndMovesThemBack) {
  const std::string owner = ask(seconds(2), "k0");
  answer(seconds(2));
  const auto owned = owned_by(owner);
  for (int i = 0; i < 2; ++i) {
    be_slow(seconds(4 + i), owned[0]);
    for (int n = 0; n < 10; ++n) {  // all others are fast
      ask(seconds(5 + i), "o" + std::to_string(n));
      answer(seconds(5 + i), sink.sent.back().host == owner ? Result::kNotSent : Result::kOk);
    }
  }
  EXPECT_LT(kept(owned, owner, seconds(6)), 30);
  EXPECT_EQ(kept(owned, owner, seconds(400)), 40);
}

TEST_F(FleetTest, MovesAPartOfTheKeysOfAHostThatRejects) {
  const std::string owner = ask(seconds(2), "k0");
  answer(seconds(2));
  const auto owned = owned_by(owner);
  be_full(seconds(4), owned[0]);
  EXPECT_LT(kept(owned, owner, seconds(5)), 30);
}

// Every key is on one host, or on it and a replica.
struct PinnedPlacement : Placement {
  void insert(const std::vector<PlacedHost>& members) override {
    for (const PlacedHost& m : members) hosts.push_back(m.host);
  }
  void erase(const std::set<Host>&) override {}
  std::uint64_t point(std::string_view key) const override {
    return std::hash<std::string_view>()(key);
  }
  bool keys_are_sticky() const override { return true; }
  bool walk(std::uint64_t, std::uint64_t, Accept accept) const override {
    for (const Host h : hosts)
      if (accept(h)) return true;
    return false;
  }
  std::vector<Host> hosts;
};

struct StickyKeysTest : ::testing::Test {
  // Slow answers of the first host, then how often each key was served of so many times asked.
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
    const auto ask = [&](Time now, const std::string& key, Result result) {
      const std::size_t before = sink.sent.size();
      policy.on_request(now, PolicyTest::request(++id, 0, false, key));
      if (sink.sent.size() == before) return false;
      // The first host is full when it is asked at all.
      const bool full = result == Result::kRejected && sink.sent.back().host == "a";
      policy.on_outcome(now, {id, 0, full ? result : Result::kNotSent, true});
      return true;
    };
    for (int i = 0; i < 4; ++i) ask(seconds(2), "slow", Result::kRejected);
    std::map<std::string, int> served;
    for (int round = 0; round < 50; ++round)
      for (int k = 0; k < 8; ++k) {
        const std::string key = "k" + std::to_string(k);
        served[key] += ask(seconds(3), key, Result::kNotSent);
      }
    return served;
  }
};

TEST_F(StickyKeysTest, SharesASlowHostsCapacityAmongAllItsKeys) {
  for (const auto& [key, n] : served_by_key(1)) {
    EXPECT_GT(n, 0) << key << " was refused each time";
    EXPECT_LT(n, 50) << key;
  }
}

TEST_F(StickyKeysTest, RejectsNoneWhereAReplicaMayAnswer) {
  for (const auto& [key, n] : served_by_key(2)) EXPECT_EQ(n, 50) << key;
}

// Hundreds of caches in two zones.
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
      const std::string host = ask(now, prefix + std::to_string(i));
      north += host[0] == 'n';
      policy.on_outcome(now, {id, 0, host[0] == 'n' ? result : Result::kOk, true});
    }
    return north;
  };
  RequestId pending = 0;
  for (int i = 0; pending == 0; ++i) {
    if (ask(seconds(2), "p" + std::to_string(i))[0] == 'n') pending = id;
  }
  EXPECT_EQ(north_of_100(seconds(2), "k", Result::kConnectFailed), 8);
  EXPECT_EQ(north_of_100(seconds(2), "l", Result::kConnectFailed), 0);
  policy.on_outcome(seconds(2), {pending, 0, Result::kOk, true});
  EXPECT_GT(north_of_100(seconds(2), "m", Result::kOk), 30);
}

TEST_F(LargeFleetTest, MetersReadsOfTheCachesWhereMostAnswersAreSlow) {
  Time now = seconds(2);
  // No host is asked often enough to be judged by itself.
  int asked = 0;
  for (int i = 0; i < 120; ++i) {
    const std::size_t before = sink.sent.size();
    be_slow(now += seconds(1), "k" + std::to_string(i));
    const bool to_cache = sink.sent.size() > before && sink.sent[before].host != "origin";
    if (i >= 60) asked += to_cache;
  }
  EXPECT_LT(asked, 30);
  EXPECT_GT(asked, 5);
  const auto past_caches = [&](const std::string& prefix) {
    int n = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string host = ask(now += seconds(1), prefix + std::to_string(i));
      n += host.empty() || host == "origin";
      answer(now);
    }
    return n;
  };
  EXPECT_GT(past_caches("l"), 0);
  EXPECT_EQ(past_caches("m"), 0);  // the caches have recovered
}

TEST_F(LargeFleetTest, ClosesIdleConnectionsWhileManyAttemptsGetNone) {
  Time now = seconds(2);
  for (int i = 0; i < 20; ++i) {
    ask(now, "k" + std::to_string(i));
    answer(now);
  }
  EXPECT_TRUE(sink.closed.empty());
  for (int i = 0; i < 4; ++i) {
    ask(now, "l" + std::to_string(i));
    policy.on_outcome(now, {id, 0, Result::kConnectFailed, true});
  }
  sink.closed.clear();
  // Only the last answer of a host leaves its connection idle.
  const std::string host = ask(now, "m");
  EXPECT_EQ(ask(now, "m"), host);
  answer(now);
  EXPECT_TRUE(sink.closed.empty());
  --id;
  answer(now);
  EXPECT_EQ(sink.closed, std::vector<std::string>{host});
  for (int i = 0; i < 100; ++i) {
    ask(now, "n" + std::to_string(i));
    answer(now);
  }
  sink.closed.clear();
  ask(now, "o");
  answer(now);
  EXPECT_TRUE(sink.closed.empty());
}

TEST_F(FleetTest, MovesAPartOfAHotKeysRequestsFromEachOfItsHosts) {
  Time now = seconds(2);
  for (int i = 0; i < 400; ++i) {
    ask(now += milliseconds(5), "hot");
    answer(now);
  }
  for (int i = 0; i < 40; ++i) be_full(now += milliseconds(5), "k" + std::to_string(i));
  std::set<std::string> taking;
  int past_caches = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string host = ask(now += milliseconds(1), "hot");
    if (host.empty() || host == "origin") {
      ++past_caches;
    } else {
      taking.insert(host);
    }
    if (!host.empty()) answer(now, Result::kNotSent);
  }
  EXPECT_GE(taking.size(), 9u);
  EXPECT_GT(past_caches, 0);
  EXPECT_LT(past_caches, 380);
}

TEST_F(FleetTest, FetchesFromTheOriginWhereEveryHostRejectsWhileAllFetchesAreAdmitted) {
  Time now = seconds(2);
  const auto ask_all = [&](const std::string& prefix) {
    std::pair<int, int> refused_and_bypassed;
    for (int i = 0; i < 100; ++i) {
      const std::string host = ask(now += milliseconds(1), prefix + std::to_string(i));
      refused_and_bypassed.first += host.empty();
      refused_and_bypassed.second += host == "origin";
      answer(now, Result::kNotSent);  // says nothing of its speed
    }
    return refused_and_bypassed;
  };
  for (int i = 0; i < 100; ++i) be_full(now += milliseconds(1), "k" + std::to_string(i));
  const auto [refused, bypassed] = ask_all("q");
  EXPECT_EQ(refused, 0);
  EXPECT_GT(bypassed, 40);
  // Now the origin is slow too: fetches that take two seconds close the gate.
  for (int i = 0; i < 40; ++i) {
    ask(now += milliseconds(1), "m" + std::to_string(i));
    if (sink.sent.back().host == "origin") {
      policy.on_outcome(now + seconds(2), {id, 0, Result::kOk, true});
      now += seconds(2);
    } else {
      policy.on_outcome(now, {id, 0, Result::kRejected, true});
    }
  }
  const auto [refused_then, bypassed_then] = ask_all("r");
  EXPECT_GT(refused_then, 40);
  EXPECT_EQ(bypassed_then, 0);
}

// Refused for want of room at the origin: as many are called back within their aim as the gate lets
// in, the others once it is over; nobody is told to return when it is of no use to him.
TEST_F(FleetTest, CallsBackSoonAsManyAsWouldBeAdmitted) {
  Settings patient = settings();
  patient.max_retry_after = seconds(60);
  Policy lone(patient, 7, seconds(1), sink);
  std::vector<HostEntry> entries = {origin()};
  for (const std::string& name : ids) entries.push_back(entry(name));
  lone.on_hosts(seconds(1), ListKind::kComplete, entries);
  for (const double open : {0.1, 0.5, 0.9}) {
    lone.restore(seconds(2), {0, open, 1, {}});
    sink.retry_afters.clear();
    RequestId fresh = 1000 * static_cast<RequestId>(10 * open);
    for (int i = 0; i < 400; ++i) {
      ++fresh;
      lone.on_request(seconds(2), request(fresh, 0, false, "c" + std::to_string(fresh)));
      lone.on_outcome(seconds(2), {fresh, 0, Result::kMiss, false});
    }
    const auto soon = std::count_if(sink.retry_afters.begin(), sink.retry_afters.end(),
                                    [](Duration w) { return w < milliseconds(300); });
    const auto between =
        std::count_if(sink.retry_afters.begin(), sink.retry_afters.end(),
                      [](Duration w) { return w >= milliseconds(300) && w < milliseconds(750); });
    ASSERT_GT(sink.retry_afters.size(), 100u);
    const double share = static_cast<double>(soon) / static_cast<double>(sink.retry_afters.size());
    EXPECT_NEAR(share, open, 0.1);
    EXPECT_EQ(between, 0) << "too late for the aim, and too soon for the overload";
    EXPECT_LE(*std::max_element(sink.retry_afters.begin(), sink.retry_afters.end()), seconds(3));
  }
}

// A miss that was heard so late that a fetch at the target's time would miss the aim is not fetched
// where others wait for their turn; with the gate wide open it is.
TEST_F(FleetTest, RejectsLateFetchesFirstWhereNotAllAreAdmitted) {
  for (const double open : {1.0, 0.6}) {
    Policy lone(settings(), 7, seconds(1), sink);
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    lone.on_hosts(seconds(1), ListKind::kComplete, entries);
    lone.restore(seconds(2), {0, open, 1, {}});
    const auto fetched = [&](RequestId fresh, Duration miss_takes) {
      const auto before = sink.sent.size();
      lone.on_request(seconds(2), request(fresh, 0, false, "d" + std::to_string(fresh)));
      lone.on_outcome(seconds(2) + miss_takes, {fresh, 0, Result::kMiss, false});
      return sink.sent.size() == before + 2 && sink.sent.back().host == "origin";
    };
    EXPECT_TRUE(fetched(1, milliseconds(100)));
    EXPECT_EQ(fetched(2, milliseconds(160)), open == 1.0);  // of 300, with 150 to come
  }
}

TEST_F(FleetTest, RetriesAtAnOriginThatAdmitsAllAndElseAtCachesForATenthOfTheRequests) {
  // Asks for 300 keys at hosts that fail, the origin apart; returns the further attempts by target.
  const auto fail_all = [&](Time from, const std::string& prefix, Duration origin_takes) {
    std::pair<int, int> caches_and_origin;
    for (int i = 0; i < 300; ++i) {
      const Time now = from + milliseconds(10 * i);
      const std::size_t first = sink.sent.size();
      ask(now, prefix + std::to_string(i));
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
  const auto [caches, open_origin] = fail_all(seconds(2), "k", milliseconds(10));
  EXPECT_EQ(caches, 0);
  EXPECT_EQ(open_origin, 300);
  fail_all(seconds(6), "l", seconds(2));  // closes the gate
  const auto [budgeted, closed_origin] = fail_all(seconds(10), "m", seconds(2));
  EXPECT_GT(budgeted, 20);
  EXPECT_LE(budgeted, 36);
  EXPECT_EQ(closed_origin, 0);
}

TEST_F(FleetTest, SendsAFewKeysAndLittleWorkToAHostThatHasJustStarted) {
  std::vector<std::string> owners;
  Time now = seconds(2);
  for (int i = 0; i < 400; ++i) {
    owners.push_back(ask(now += milliseconds(5), "k" + std::to_string(i)));
    answer(now);
  }
  HostEntry a = entry("a");
  a.start = HostStart::exactly(now);
  policy.on_hosts(now, ListKind::kChanges, {a});
  int before = 0, after = 0, strays = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string host = ask(now += milliseconds(5), "k" + std::to_string(i));
    answer(now);
    before += owners[i] == "a";
    after += host == "a";
    strays += host == "a" && owners[i] != "a";
  }
  EXPECT_GT(before, 20);
  EXPECT_GT(after, 0);
  EXPECT_LT(after, before / 2);
  EXPECT_EQ(strays, 0);
}

TEST_F(FleetTest, RejectsWhatExceedsATenantsQuotaUnderOverloadOnly) {
  Settings with_quota = settings();
  with_quota.tenant_quotas = {1, 100};
  Policy strict(with_quota, 1, seconds(1), sink);
  std::vector<HostEntry> entries = {origin()};
  for (const std::string& name : ids) entries.push_back(entry(name));
  strict.on_hosts(seconds(1), ListKind::kComplete, entries);
  const auto refused = [&](Time now, int tenant) {
    const std::size_t before = sink.rejected.size();
    for (int i = 0; i < 20; ++i) {
      const std::string key(static_cast<std::size_t>(i + 1), 'k');
      Request q = request(++id, 0, false, key);
      q.tenant = tenant;
      strict.on_request(now, q);
    }
    return sink.rejected.size() - before;
  };
  EXPECT_EQ(refused(seconds(2), 0), 0u);
  int slow = 0;
  for (const auto& t : std::exchange(sink.timers, {}))
    if (t.at < seconds(2) + milliseconds(600) && slow++ < 12) strict.on_timer(t.at, t.tag);
  EXPECT_GT(refused(seconds(3), 0), 15u);
  EXPECT_LT(refused(seconds(3), 1), 15u);
}

// The front gives one balancer of ten five times its even part of all: its part of each tenant's
// share is as much larger, and a burst of the tenant's own makes it no larger.
TEST_F(FleetTest, ScalesATenantsQuotaWithTheTrafficOfOtherTenantsHere) {
  for (const auto& [others, own, least, most] :
       {std::tuple{500, 4, 0, 6}, std::tuple{50, 4, 20, 40}, std::tuple{50, 40, 300, 400}}) {
    Settings with_quota = settings();
    with_quota.balancers = 10;
    with_quota.tenant_quotas = {10, 1000};
    Policy strict(with_quota, 1, seconds(1), sink);
    std::vector<HostEntry> entries = {origin()};
    for (const std::string& name : ids) entries.push_back(entry(name));
    strict.on_hosts(seconds(1), ListKind::kComplete, entries);
    int refused = 0;
    const auto ask_for = [&](Time now, int tenant, bool slow) {
      const std::size_t before = sink.rejected.size();
      const std::string key = "k" + std::to_string(++id);  // the request only names it
      Request q = request(id, 0, false, key);
      q.tenant = tenant;
      strict.on_request(now, q);
      if (sink.rejected.size() > before) return false;
      const bool cache = sink.sent.back().host != "origin";
      strict.on_outcome(now, {id, 0, slow && cache ? Result::kRejected : Result::kOk, true});
      return true;
    };
    // Half of the answers say that the host is full, so that the fleet is strained throughout.
    for (int ms = 0; ms < 20'000; ++ms) {
      const Time now = seconds(2) + milliseconds(ms);
      if (ms % (1000 / others) == 0) ask_for(now, 1, ms / (1000 / others) % 2 == 0);
      if (ms % (1000 / own) == 0 && !ask_for(now, 0, false)) refused += ms >= 10'000;
    }
    EXPECT_GE(refused, least) << others << " beside " << own;
    EXPECT_LE(refused, most) << others << " beside " << own;
  }
}

}  // namespace
}  // namespace balancer

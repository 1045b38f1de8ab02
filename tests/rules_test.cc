// Checks the policy's four rules over random sequences of events. The checker keeps its own
// records of the events and actions it sees, independent of how the policy implements the rules.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "policy/policy.h"

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RequestRecord {
  struct SentAttempt {
    std::string host;
    Time at;
    Result result = Result::kOk;
    bool in_flight = true;
    bool may_have_run() const {
      return in_flight || !(result == Result::kRejected || result == Result::kConnectFailed ||
                            result == Result::kNotSent || result == Result::kMiss);
    }
  };
  Request q;
  Time deadline{0};
  std::vector<SentAttempt> attempts;
  bool finished = false;
};

struct HostInfo {
  int zone, cell;
  HostState state = HostState::kServing;
};

class RuleChecker : public ActionSink {
 public:
  explicit RuleChecker(const Settings& s) : settings(s) {}

  void send(RequestId id, std::string_view host, Time until) override {
    ASSERT_TRUE(records.count(id));
    RequestRecord& b = records[id];
    const RequestClass& c = settings.classes[b.q.request_class];
    const HostInfo& info = hosts.at(std::string(host));
    EXPECT_FALSE(b.finished) << "attempt sent after the final answer";
    EXPECT_LE(until, b.deadline);
    EXPECT_EQ(info.state, HostState::kServing) << "attempt sent to a host that is draining or gone";
    EXPECT_LT(static_cast<int>(b.attempts.size()), settings.max_attempts);
    for (const auto& t : b.attempts) {
      if (!settings.hedging) {
        EXPECT_FALSE(t.in_flight) << "two attempts in flight without hedging";
      }
      if (c.idempotency == Idempotency::kIdempotent || !t.may_have_run()) continue;
      EXPECT_NE(c.idempotency, Idempotency::kNone) << "non-idempotent request sent twice";
      const HostInfo& first = hosts.at(t.host);
      if (c.scope != DeduplicationScope::kAll) {
        EXPECT_EQ(first.zone, info.zone);
      }
      if (c.scope == DeduplicationScope::kCell) {
        EXPECT_EQ(first.cell, info.cell);
      }
      EXPECT_LE(now - t.at, c.deduplication_window);
    }
    b.attempts.push_back({std::string(host), now});
    attempts_in_flight.push_back({id, static_cast<int>(b.attempts.size()) - 1});
  }
  void reject(RequestId id, Duration) override {
    const RequestRecord& b = records[id];
    const RequestClass& c = settings.classes[b.q.request_class];
    const bool safe_to_retry =
        c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotencyKey && c.scope == DeduplicationScope::kAll);
    for (const auto& t : b.attempts)
      EXPECT_TRUE(safe_to_retry || !t.may_have_run()) << "rejected although a retry is not safe";
    end(id);
  }
  void fail(RequestId id) override { end(id); }
  void set_timer(Time at, std::uint64_t tag) override { timers.insert({std::max(at, now), tag}); }
  void subscribe() override {}
  void close_idle(std::string_view) override {}

  void end(RequestId id) {
    EXPECT_FALSE(records[id].finished) << "two final answers";
    records[id].finished = true;
  }

  const Settings settings;
  Time now{0};
  std::map<std::string, HostInfo> hosts;
  std::map<RequestId, RequestRecord> records;
  std::vector<std::pair<RequestId, int>> attempts_in_flight;
  std::set<std::pair<Time, std::uint64_t>> timers;
};

void run_random_events(std::uint32_t seed, Idempotency idempotency, DeduplicationScope scope,
                       bool hedging, bool cache_aside) {
  std::mt19937 random(seed);
  const auto pick = [&](unsigned n) { return static_cast<int>(random() % n); };
  Settings s;
  RequestClass c;
  c.latency_objective = milliseconds(300);
  c.deadline = seconds(3);
  c.idempotency = idempotency;
  c.scope = scope;
  c.deduplication_window = milliseconds(400);
  s.classes = {c};
  s.cache_aside = cache_aside;
  s.hedging = hedging;
  s.max_attempts = 4;
  s.slow_start = {0.2, seconds(5)};
  RuleChecker check(s);
  Policy policy(s, seed, check.now, check);
  const auto list = [&](bool whole) {
    std::vector<HostEntry> entries;
    for (const auto& [id, info] : check.hosts) {
      HostEntry e;
      e.id = id;
      e.origin = id[0] == 'o';
      e.zone = info.zone;
      e.cell = info.cell;
      e.state = info.state;
      if (pick(4) == 0) e.start = HostStart::exactly(check.now);
      if (!whole || info.state != HostState::kGone) entries.push_back(e);
    }
    policy.on_hosts(check.now, whole ? ListKind::kComplete : ListKind::kChanges, entries);
  };
  for (int i = 0; i < 8; ++i) check.hosts["h" + std::to_string(i)] = {i % 2, i / 2};
  check.hosts["o"] = {0, 9};
  list(true);
  RequestId next = 1;
  for (int step = 0; step < 1500; ++step) {
    check.now += milliseconds(pick(20));
    while (!check.timers.empty() && check.timers.begin()->first <= check.now) {
      const auto tag = check.timers.begin()->second;
      check.timers.erase(check.timers.begin());
      policy.on_timer(check.now, tag);
    }
    for (const auto& [id, b] : check.records)
      if (!b.finished) {
        ASSERT_LE(check.now, b.deadline + milliseconds(20)) << "no answer by the deadline";
      }
    const int what = pick(10);
    if (what < 4) {
      Request q;
      q.id = next++;
      const std::string key = "k" + std::to_string(pick(6));
      q.key = key;
      q.write = pick(3) == 0;
      q.time_left = milliseconds(50 + pick(2000));
      check.records[q.id] = {q, check.now + q.time_left, {}, false};
      policy.on_request(check.now, q);
    } else if (what < 8 && !check.attempts_in_flight.empty()) {
      const std::size_t at =
          static_cast<std::size_t>(pick(static_cast<unsigned>(check.attempts_in_flight.size())));
      const auto [id, number] = check.attempts_in_flight[at];
      check.attempts_in_flight.erase(check.attempts_in_flight.begin() +
                                     static_cast<std::ptrdiff_t>(at));
      RequestRecord& b = check.records[id];
      auto& t = b.attempts[static_cast<std::size_t>(number)];
      t.in_flight = false;
      t.result = b.finished ? Result::kTimeout : static_cast<Result>(pick(9));
      if (t.result == Result::kOk) b.finished = true;
      policy.on_outcome(check.now, {id, number, t.result, b.finished});
    } else if (what == 8 && next > 1 && pick(5) == 0) {
      const RequestId id = 1 + static_cast<RequestId>(pick(static_cast<unsigned>(next - 1)));
      if (!check.records[id].finished) {
        check.records[id].finished = true;
        policy.on_withdrawn(check.now, id);
      }
    } else if (what == 9) {
      auto it = check.hosts.begin();
      std::advance(it, pick(9));
      it->second.state = static_cast<HostState>(pick(3));
      list(pick(2) == 0);
    }
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << " step " << step;
  }
}

TEST(RulesTest, HoldUnderRandomEventsForEveryKindOfRequest) {
  std::uint32_t seed = 1;
  for (const Idempotency idempotency :
       {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNone})
    for (const DeduplicationScope scope :
         {DeduplicationScope::kAll, DeduplicationScope::kZone, DeduplicationScope::kCell})
      for (const bool hedging : {false, true})
        for (const bool cache_aside : {false, true}) {
          run_random_events(seed++, idempotency, scope, hedging, cache_aside);
          if (HasFailure()) return;
        }
}

}  // namespace
}  // namespace balancer

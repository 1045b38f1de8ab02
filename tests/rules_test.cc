// Checks over random sequences of events that the policy gives a request at most one final answer,
// and one by its deadline; that it neither repeats a request that is not safe to repeat nor asks
// the client to; and that it sends attempts to serving hosts only. The checker keeps its own
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
  Request request;
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
    RequestRecord& record = records[id];
    const RequestClass& c = settings.classes[record.request.request_class];
    const HostInfo& info = hosts.at(std::string(host));
    EXPECT_FALSE(record.finished) << "attempt sent after the final answer";
    EXPECT_LE(until, record.deadline);
    EXPECT_EQ(info.state, HostState::kServing) << "attempt sent to a host that is draining or gone";
    EXPECT_LT(static_cast<int>(record.attempts.size()), settings.max_attempts);
    for (const auto& attempt : record.attempts) {
      if (!settings.hedging) {
        EXPECT_FALSE(attempt.in_flight) << "two attempts in flight without hedging";
      }
      if (c.idempotency == Idempotency::kIdempotent || !attempt.may_have_run()) continue;
      EXPECT_NE(c.idempotency, Idempotency::kNone) << "non-idempotent request sent twice";
      const HostInfo& first = hosts.at(attempt.host);
      if (c.scope != DeduplicationScope::kAll) {
        EXPECT_EQ(first.zone, info.zone);
      }
      if (c.scope == DeduplicationScope::kCell) {
        EXPECT_EQ(first.cell, info.cell);
      }
      EXPECT_LE(now - attempt.at, c.deduplication_window);
    }
    record.attempts.push_back({std::string(host), now});
    attempts_in_flight.push_back({id, static_cast<int>(record.attempts.size()) - 1});
  }
  void reject(RequestId id, Duration) override {
    const RequestRecord& record = records[id];
    const RequestClass& c = settings.classes[record.request.request_class];
    const bool safe_to_retry =
        c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotencyKey && c.scope == DeduplicationScope::kAll);
    for (const auto& attempt : record.attempts)
      EXPECT_TRUE(safe_to_retry || !attempt.may_have_run())
          << "rejected although the request may have been executed and is not safe to repeat";
    record_final_answer(id);
  }
  void fail(RequestId id) override { record_final_answer(id); }
  void set_timer(Time at, std::uint64_t tag) override { timers.insert({std::max(at, now), tag}); }
  void poll_endpoint_list() override {}
  void close_idle(std::string_view) override {}

  void record_final_answer(RequestId id) {
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
  const auto send_host_list = [&](bool complete) {
    std::vector<HostEntry> entries;
    for (const auto& [id, info] : check.hosts) {
      HostEntry e;
      e.id = id;
      e.is_origin = id[0] == 'o';
      e.zone = info.zone;
      e.cell = info.cell;
      e.state = info.state;
      if (pick(4) == 0) e.start = HostStart::exactly(check.now);
      if (!complete || info.state != HostState::kGone) entries.push_back(e);
    }
    policy.on_hosts(check.now, complete ? ListKind::kComplete : ListKind::kChanges, entries);
  };
  for (int i = 0; i < 8; ++i) check.hosts["h" + std::to_string(i)] = {i % 2, i / 2};
  check.hosts["o"] = {0, 9};
  send_host_list(true);
  RequestId next = 1;
  for (int step = 0; step < 1500; ++step) {
    check.now += milliseconds(pick(20));
    while (!check.timers.empty() && check.timers.begin()->first <= check.now) {
      const auto tag = check.timers.begin()->second;
      check.timers.erase(check.timers.begin());
      policy.on_timer(check.now, tag);
    }
    // Time advances by less than 20 ms a step, so a timer may run that much late.
    for (const auto& [id, record] : check.records)
      if (!record.finished) {
        ASSERT_LE(check.now, record.deadline + milliseconds(20)) << "no answer by the deadline";
      }
    const int event = pick(10);
    if (event < 4) {
      Request request;
      request.id = next++;
      const std::string key = "k" + std::to_string(pick(6));
      request.key = key;
      request.is_write = pick(3) == 0;
      request.time_left = milliseconds(50 + pick(2000));
      check.records[request.id] = {request, check.now + request.time_left, {}, false};
      policy.on_request(check.now, request);
    } else if (event < 8 && !check.attempts_in_flight.empty()) {
      const std::size_t at =
          static_cast<std::size_t>(pick(static_cast<unsigned>(check.attempts_in_flight.size())));
      const auto [id, number] = check.attempts_in_flight[at];
      check.attempts_in_flight.erase(check.attempts_in_flight.begin() +
                                     static_cast<std::ptrdiff_t>(at));
      RequestRecord& record = check.records[id];
      auto& attempt = record.attempts[static_cast<std::size_t>(number)];
      attempt.in_flight = false;
      // Attempts of a finished request only time out.
      attempt.result = record.finished ? Result::kTimeout : static_cast<Result>(pick(9));
      if (attempt.result == Result::kOk) record.finished = true;
      policy.on_outcome(check.now, {id, number, attempt.result, record.finished});
    } else if (event == 8 && next > 1 && pick(5) == 0) {
      const RequestId id = 1 + static_cast<RequestId>(pick(static_cast<unsigned>(next - 1)));
      if (!check.records[id].finished) {
        check.records[id].finished = true;
        policy.on_request_cancelled(check.now, id);
      }
    } else if (event == 9) {
      auto it = check.hosts.begin();
      std::advance(it, pick(9));
      it->second.state = static_cast<HostState>(pick(3));
      send_host_list(pick(2) == 0);
    }
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << " step " << step;
  }
}

TEST(RulesTest, HoldForAllRequestClassSettingsUnderRandomEvents) {
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

// The four rules over random sequences of events. The checker keeps books of its own from what it
// sees going in and out, and knows nothing of how the module keeps the rules.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "policy/policy.h"

namespace balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Book {
  struct Try {
    std::string host;
    Time at;
    Result result = Result::kOk;
    bool out = true;
    bool may_have_run() const {
      return out || !(result == Result::kRejected || result == Result::kConnectFailed ||
                      result == Result::kNotSent || result == Result::kMiss);
    }
  };
  Request q;
  Time deadline{0};
  std::vector<Try> tries;
  bool over = false;
};

struct Place {
  int zone, cell;
  HostState state = HostState::kServing;
};

class Checker : public ActionSink {
 public:
  explicit Checker(const Settings& s) : settings(s) {}

  void send(RequestId id, std::string_view host, Time until) override {
    ASSERT_TRUE(books.count(id));
    Book& b = books[id];
    const RequestClass& c = settings.classes[b.q.request_class];
    const Place& place = places.at(std::string(host));
    EXPECT_FALSE(b.over) << "sent after its end";
    EXPECT_LE(until, b.deadline);
    EXPECT_EQ(place.state, HostState::kServing) << "sent to a host that drains or is gone";
    EXPECT_LT(static_cast<int>(b.tries.size()), settings.max_attempts);
    for (const auto& t : b.tries) {
      if (!settings.hedging) {
        EXPECT_FALSE(t.out) << "two attempts out";
      }
      if (c.idempotency == Idempotency::kIdempotent || !t.may_have_run()) continue;
      EXPECT_NE(c.idempotency, Idempotency::kNone) << "an unsafe request sent twice";
      const Place& first = places.at(t.host);
      if (c.scope != DeduplicationScope::kAll) {
        EXPECT_EQ(first.zone, place.zone);
      }
      if (c.scope == DeduplicationScope::kCell) {
        EXPECT_EQ(first.cell, place.cell);
      }
      EXPECT_LE(now - t.at, c.deduplication_window);
    }
    b.tries.push_back({std::string(host), now});
    out.push_back({id, static_cast<int>(b.tries.size()) - 1});
  }
  void reject(RequestId id, Duration) override {
    const Book& b = books[id];
    const RequestClass& c = settings.classes[b.q.request_class];
    const bool harmless =
        c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotencyKey && c.scope == DeduplicationScope::kAll);
    for (const auto& t : b.tries) EXPECT_TRUE(harmless || !t.may_have_run()) << "false promise";
    end(id);
  }
  void fail(RequestId id) override { end(id); }
  void set_timer(Time at, std::uint64_t tag) override { timers.insert({std::max(at, now), tag}); }
  void subscribe() override {}
  void close_idle(std::string_view) override {}

  void end(RequestId id) {
    EXPECT_FALSE(books[id].over) << "answered twice";
    books[id].over = true;
  }

  const Settings settings;
  Time now{0};
  std::map<std::string, Place> places;
  std::map<RequestId, Book> books;
  std::vector<std::pair<RequestId, int>> out;
  std::set<std::pair<Time, std::uint64_t>> timers;
};

void play(std::uint32_t seed, Idempotency idempotency, DeduplicationScope scope, bool copies,
          bool aside) {
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
  s.cache_aside = aside;
  s.hedging = copies;
  s.max_attempts = 4;
  s.slow_start = {0.2, seconds(5)};
  Checker check(s);
  Policy policy(s, seed, check.now, check);
  const auto list = [&](bool whole) {
    std::vector<HostEntry> entries;
    for (const auto& [id, place] : check.places) {
      HostEntry e;
      e.id = id;
      e.origin = id[0] == 'o';
      e.zone = place.zone;
      e.cell = place.cell;
      e.state = place.state;
      if (pick(4) == 0) e.start = HostStart::exactly(check.now);
      if (!whole || place.state != HostState::kGone) entries.push_back(e);
    }
    policy.on_hosts(check.now, whole ? ListKind::kComplete : ListKind::kChanges, entries);
  };
  for (int i = 0; i < 8; ++i) check.places["h" + std::to_string(i)] = {i % 2, i / 2};
  check.places["o"] = {0, 9};
  list(true);
  RequestId next = 1;
  for (int step = 0; step < 1500; ++step) {
    check.now += milliseconds(pick(20));
    while (!check.timers.empty() && check.timers.begin()->first <= check.now) {
      const auto tag = check.timers.begin()->second;
      check.timers.erase(check.timers.begin());
      policy.on_timer(check.now, tag);
    }
    for (const auto& [id, b] : check.books)
      if (!b.over) {
        ASSERT_LE(check.now, b.deadline + milliseconds(20)) << "no answer";
      }
    const int what = pick(10);
    if (what < 4) {
      Request q;
      q.id = next++;
      const std::string key = "k" + std::to_string(pick(6));
      q.key = key;
      q.write = pick(3) == 0;
      q.time_left = milliseconds(50 + pick(2000));
      check.books[q.id] = {q, check.now + q.time_left, {}, false};
      policy.on_request(check.now, q);
    } else if (what < 8 && !check.out.empty()) {
      const std::size_t at =
          static_cast<std::size_t>(pick(static_cast<unsigned>(check.out.size())));
      const auto [id, number] = check.out[at];
      check.out.erase(check.out.begin() + static_cast<std::ptrdiff_t>(at));
      Book& b = check.books[id];
      auto& t = b.tries[static_cast<std::size_t>(number)];
      t.out = false;
      t.result = b.over ? Result::kTimeout : static_cast<Result>(pick(9));
      if (t.result == Result::kOk) b.over = true;
      policy.on_outcome(check.now, {id, number, t.result, b.over});
    } else if (what == 8 && next > 1 && pick(5) == 0) {
      const RequestId id = 1 + static_cast<RequestId>(pick(static_cast<unsigned>(next - 1)));
      if (!check.books[id].over) {
        check.books[id].over = true;
        policy.on_withdrawn(check.now, id);
      }
    } else if (what == 9) {
      auto it = check.places.begin();
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
      for (const bool copies : {false, true})
        for (const bool aside : {false, true}) {
          play(seed++, idempotency, scope, copies, aside);
          if (HasFailure()) return;
        }
}

}  // namespace
}  // namespace balancer

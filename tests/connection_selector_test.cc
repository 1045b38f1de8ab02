#include "connection_pool/connection_selector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace balancer::connection_pool {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ConnectionSelector::Choice::Kind;

ConnectionSelectorSettings shared(std::size_t min_connections = 1) {
  ConnectionSelectorSettings s;
  s.max_depth = 64;
  s.shared = true;
  s.max_non_idempotent = 4;
  s.min_connections_before_sharing = min_connections;
  return s;
}

class ConnectionSelectorTest : public ::testing::Test {
 protected:
  // Assigns an attempt to the connection that the selector chooses. Returns the id of the
  // connection, or -1 for kWait.
  int start(ConnectionSelector& s, const AttemptTraits& traits, bool may_open = true) {
    const auto choice = s.choose(now, traits, may_open);
    if (choice.kind == Kind::kWait) return -1;
    ConnectionId id = choice.connection;
    if (choice.kind == Kind::kOpen) {
      id = s.on_open(now);
      s.on_connected(id, now);
    }
    s.on_assigned(id, now, traits);
    return static_cast<int>(id);
  }
  // Records `n` answers with a latency of `latency` each on a separate connection.
  void record_answers(ConnectionSelector& s, int n, Duration latency = microseconds(100),
                      std::uint8_t kind = 0) {
    const auto id = s.on_open(now);
    s.on_connected(id, now);
    for (int i = 0; i < n; ++i) {
      s.on_assigned(id, now, {.command_kind = kind});
      now += latency;
      s.on_answered(id, now, true);
    }
    s.on_closed(id);
  }

  Time now{seconds(100)};
};

TEST_F(ConnectionSelectorTest, OpensAConnectionForEachAttemptIfSharingIsDisabled) {
  ConnectionSelectorSettings settings;
  settings.max_depth = 4;
  ConnectionSelector s(settings);
  EXPECT_EQ(start(s, {}), 0);
  EXPECT_EQ(start(s, {}), 1);
  EXPECT_EQ(s.depth(0), 1u);
  // Attempts are queued behind others, up to max_depth, only if no connection can be opened.
  for (int i = 0; i < 6; ++i) EXPECT_GE(start(s, {}, false), 0);
  EXPECT_EQ(s.depth(0), 4u);
  EXPECT_EQ(s.depth(1), 4u);
  EXPECT_EQ(start(s, {}, false), -1);
}

TEST_F(ConnectionSelectorTest, UsesNoPossiblyClosedIdleConnectionForANonIdempotentAttempt) {
  ConnectionSelectorSettings settings;
  ConnectionSelector s(settings);
  start(s, {});
  s.on_answered(0, now, true);
  now += milliseconds(10);
  EXPECT_EQ(s.choose(now, {.non_idempotent = true}, true).kind, Kind::kOpen) << "idle too briefly";
  EXPECT_EQ(s.choose(now, {.answer_lacks_id = true}, true).kind, Kind::kOpen) << "idle too briefly";
  EXPECT_EQ(s.choose(now, {.answer_lacks_id = true}, false).kind, Kind::kWait)
      << "idle too briefly, even if no other connection can be opened";
  EXPECT_EQ(s.choose(now, {}, true).kind, Kind::kUse);
  now += milliseconds(50);
  EXPECT_EQ(s.choose(now, {.answer_lacks_id = true}, true).kind, Kind::kUse);
  EXPECT_EQ(s.choose(now, {.non_idempotent = true}, true).kind, Kind::kUse);
  now += milliseconds(600);
  EXPECT_EQ(s.choose(now, {.non_idempotent = true}, true).kind, Kind::kOpen) << "idle for too long";
  now += seconds(6);
  EXPECT_EQ(s.choose(now, {}, true).kind, Kind::kOpen) << "idle for longer than max_idle";
}

TEST_F(ConnectionSelectorTest, KeepsAClientsPipelineOnOneConnection) {
  ConnectionSelector s(shared(4));
  EXPECT_EQ(start(s, {.client_id = 7}), 0);
  for (int i = 1; i < 64; ++i) EXPECT_EQ(start(s, {.client_id = 7}), 0);
  EXPECT_EQ(s.depth(0), 64u);
  EXPECT_EQ(start(s, {.client_id = 7}), 1) << "the connection is full";
}

TEST_F(ConnectionSelectorTest, SharesConnectionsOnceAnswersAreKnownToBeFast) {
  ConnectionSelector s(shared());
  EXPECT_EQ(s.shared_depth(), 1u) << "no answers recorded yet";
  record_answers(s, 4000);
  EXPECT_GT(s.shared_depth(), 16u);
  EXPECT_EQ(start(s, {.client_id = 1}), 0);
  EXPECT_EQ(start(s, {.client_id = 2}), 0);
}

TEST_F(ConnectionSelectorTest, OpensAMinimumOfConnectionsBeforeItShares) {
  ConnectionSelector s(shared(3));
  record_answers(s, 4000);
  for (std::uint64_t client = 1; client <= 3; ++client)
    EXPECT_EQ(start(s, {.client_id = client}), static_cast<int>(client - 1));
  EXPECT_LT(start(s, {.client_id = 4}), 3);
  EXPECT_EQ(s.open(), 3u);
}

// If one answer in a hundred is slow, whatever its kind, too many attempts would wait behind slow
// ones of other clients.
TEST_F(ConnectionSelectorTest, SharesNoConnectionIfOneAnswerInAHundredIsSlow) {
  ConnectionSelector s(shared());
  for (int i = 0; i < 100; ++i) {
    record_answers(s, 99);
    record_answers(s, 1, milliseconds(50));
  }
  EXPECT_NEAR(s.slow_ratio(), 0.01, 0.006);
  EXPECT_EQ(s.shared_depth(), 1u);
  record_answers(s, 5000);
  EXPECT_GT(s.shared_depth(), 16u) << "sharing did not resume after a slow phase";
}

// If one kind of command is slow, the other kinds still share connections.
TEST_F(ConnectionSelectorTest, SharesNoConnectionBetweenASlowKindAndOtherClients) {
  ConnectionSelector s(shared());
  record_answers(s, 4000);
  for (int i = 0; i < 40; ++i) {
    record_answers(s, 99);
    record_answers(s, 1, milliseconds(50), 9);
  }
  ASSERT_TRUE(s.is_slow_kind(9));
  EXPECT_FALSE(s.is_slow_kind(0));
  EXPECT_GT(s.shared_depth(), 8u);
  const int alone = start(s, {.client_id = 1, .command_kind = 9});
  EXPECT_NE(start(s, {.client_id = 2}), alone);
  EXPECT_NE(start(s, {.client_id = 3, .command_kind = 9}), alone);
  EXPECT_EQ(start(s, {.client_id = 1}), alone) << "its own client waits for the slow answer anyway";
}

TEST_F(ConnectionSelectorTest, AssignsNothingToAnOverdueConnection) {
  ConnectionSelector s(shared());
  record_answers(s, 4000);
  ASSERT_EQ(start(s, {.client_id = 1}), 0);
  now += milliseconds(3);
  EXPECT_TRUE(s.is_overdue(0, now));
  EXPECT_EQ(start(s, {.client_id = 1}), 1);
  EXPECT_EQ(start(s, {.client_id = 2}), 1);
  EXPECT_EQ(start(s, {.client_id = 2}, false), 1);
  s.on_answered(0, now, true);
  EXPECT_FALSE(s.is_overdue(0, now));
}

TEST_F(ConnectionSelectorTest, BoundsNonIdempotentAttemptsOnAConnection) {
  ConnectionSelector s(shared());
  record_answers(s, 4000);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(start(s, {.client_id = 1, .non_idempotent = true}), 0);
  EXPECT_EQ(start(s, {.client_id = 1, .non_idempotent = true}), 1);
  EXPECT_EQ(start(s, {.client_id = 1}), 0) << "idempotent attempts are not affected";
  EXPECT_EQ(start(s, {.client_id = 2}, false), 1);
}

TEST_F(ConnectionSelectorTest, QueuesBehindTheOrderGroupOrWaits) {
  ConnectionSelector s(shared(4));
  record_answers(s, 4000);
  ASSERT_EQ(start(s, {.client_id = 1, .order_group = 5}), 0);
  EXPECT_EQ(start(s, {.client_id = 1, .order_group = 5, .must_follow_group = true}), 0);
  now += milliseconds(3);
  EXPECT_EQ(start(s, {.client_id = 1, .order_group = 5, .must_follow_group = true}), -1)
      << "must not overtake an overdue attempt of its group";
  EXPECT_EQ(start(s, {.client_id = 1, .order_group = 6}), 1);
  // Reads of one group are in flight on two connections: a write waits until one of these has
  // answered.
  ASSERT_EQ(start(s, {.client_id = 1, .order_group = 5}), 1);
  s.on_answered(0, now, true);
  EXPECT_EQ(start(s, {.client_id = 1, .order_group = 5, .must_follow_group = true}), -1);
  s.on_answered(0, now, true);
  EXPECT_EQ(start(s, {.client_id = 1, .order_group = 5, .must_follow_group = true}), 1);
}

TEST_F(ConnectionSelectorTest, AssignsNothingToAConnectionThatWillClose) {
  ConnectionSelector s(shared());
  record_answers(s, 4000);
  ASSERT_EQ(start(s, {.client_id = 1}), 0);
  ASSERT_EQ(start(s, {.client_id = 1}), 0);
  s.on_answered(0, now, false);
  EXPECT_EQ(start(s, {.client_id = 1}), 1);
  s.on_closed(0);
  EXPECT_EQ(s.open(), 1u);
}

// Compares the selector with a reference model over random events, and checks that each choice
// respects every bound.
class RandomConnectionSelectorTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(RandomConnectionSelectorTest, RespectsItsBoundsOverRandomEvents) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  ConnectionSelectorSettings settings = shared(1 + below(4));
  settings.max_depth = 1 + below(20);
  settings.shared = settings.max_depth > 1 && below(4) > 0;
  ConnectionSelector s(settings);
  Time now{seconds(1)};
  struct ExpectedConnection {
    bool is_connected = false, reusable = true;
    std::deque<AttemptTraits> in_flight;
    std::deque<std::uint64_t> number;
  };
  std::map<ConnectionId, ExpectedConnection> expected;
  std::uint64_t next = 1;
  std::map<std::uint64_t, std::uint64_t> last_answered;  // by order group
  for (int round = 0; round < 20000; ++round) {
    now += microseconds(below(20) == 0 ? below(20'000) : below(300));
    const auto any = [&]() {
      return std::next(expected.begin(), static_cast<std::ptrdiff_t>(below(expected.size())));
    };
    switch (below(8)) {
      case 0:
      case 1:
      case 2: {
        AttemptTraits traits;
        traits.client_id = below(5);
        traits.order_group = 1 + below(12);
        traits.must_follow_group = true;
        traits.non_idempotent = below(5) == 0;
        traits.command_kind = static_cast<std::uint8_t>(below(3));
        const bool may_open = expected.size() < 6 && below(3) > 0;
        const auto choice = s.choose(now, traits, may_open);
        if (choice.kind == Kind::kWait) break;
        ConnectionId id = choice.connection;
        if (choice.kind == Kind::kOpen) {
          ASSERT_TRUE(may_open);
          id = s.on_open(now);
          ASSERT_TRUE(expected.emplace(id, ExpectedConnection{}).second)
              << "id of a connection that is open already";
        }
        ASSERT_TRUE(expected.count(id)) << "connection is not open";
        ExpectedConnection& m = expected[id];
        ASSERT_TRUE(m.reusable);
        ASSERT_LT(m.in_flight.size(), settings.max_depth);
        if (traits.non_idempotent && !m.in_flight.empty()) {
          ASSERT_LT(std::count_if(m.in_flight.begin(), m.in_flight.end(),
                                  [](auto& o) { return o.non_idempotent; }),
                    static_cast<std::ptrdiff_t>(settings.max_non_idempotent));
        }
        if (!m.in_flight.empty()) {
          ASSERT_FALSE(s.is_overdue(id, now));
        }
        for (const auto& [other, o] : expected) {
          if (other == id) continue;
          ASSERT_TRUE(std::none_of(o.in_flight.begin(), o.in_flight.end(), [&](auto& x) {
            return x.order_group == traits.order_group;
          })) << "order group is in flight on two connections";
        }
        s.on_assigned(id, now, traits);
        m.in_flight.push_back(traits);
        m.number.push_back(next++);
        break;
      }
      case 3:
        if (!expected.empty()) {
          const auto it = any();
          if (!it->second.is_connected) {
            s.on_connected(it->first, now);
            it->second.is_connected = true;
          }
        }
        break;
      case 4:
      case 5:
        if (!expected.empty()) {
          const auto it = any();
          ExpectedConnection& m = it->second;
          if (!m.is_connected || m.in_flight.empty() || !m.reusable) break;
          m.reusable = below(30) > 0;
          s.on_answered(it->first, now, m.reusable);
          auto& last = last_answered[m.in_flight.front().order_group];
          ASSERT_LT(last, m.number.front()) << "answered out of order";
          last = m.number.front();
          m.in_flight.pop_front();
          m.number.pop_front();
        }
        break;
      case 6:
        if (!expected.empty()) {
          const auto it = any();
          if (it->second.in_flight.empty()) break;
          const auto position = below(it->second.in_flight.size());
          s.on_withdrawn(it->first, position, now);
          it->second.in_flight.erase(it->second.in_flight.begin() +
                                     static_cast<std::ptrdiff_t>(position));
          it->second.number.erase(it->second.number.begin() +
                                  static_cast<std::ptrdiff_t>(position));
        }
        break;
      default:
        if (!expected.empty() && below(10) == 0) {
          const auto it = any();
          s.on_closed(it->first);
          expected.erase(it);
        }
    }
    ASSERT_EQ(s.open(), expected.size());
    std::size_t idle = 0;
    for (const auto& [id, m] : expected) {
      ASSERT_EQ(s.depth(id), m.in_flight.size());
      idle += m.is_connected && m.in_flight.empty() && m.reusable;
    }
    ASSERT_EQ(s.idle().size(), idle);
    ASSERT_TRUE(std::is_sorted(s.idle().begin(), s.idle().end(),
                               [&](auto a, auto b) { return s.idle_since(a) < s.idle_since(b); }));
    ASSERT_GE(s.shared_depth(), 1u);
    ASSERT_LE(s.shared_depth(), std::max<std::size_t>(1, settings.max_depth));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomConnectionSelectorTest, ::testing::Range(1u, 17u));

}  // namespace
}  // namespace balancer::connection_pool

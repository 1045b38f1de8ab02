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

ConnectionSelectorSettings shared(std::size_t spread = 1) {
  ConnectionSelectorSettings s;
  s.max_depth = 64;
  s.shared = true;
  s.max_unsafe = 4;
  s.spread = spread;
  return s;
}

class ConnectionSelectorTest : public ::testing::Test {
 protected:
  // Starts an attempt wherever the module says; the connection's number, or -1 where it must wait.
  int start(ConnectionSelector& s, const AttemptTraits& want, bool may_open = true) {
    const auto choice = s.choose(now, want, may_open);
    if (choice.kind == Kind::kWait) return -1;
    ConnectionId id = choice.connection;
    if (choice.kind == Kind::kOpen) {
      id = s.on_open(now);
      s.on_up(id, now);
    }
    s.on_assigned(id, now, want);
    return static_cast<int>(id);
  }
  // So many answers, each after `took`, on a connection of their own.
  void learn(ConnectionSelector& s, int n, Duration took = microseconds(100),
             std::uint8_t kind = 0) {
    const auto id = s.on_open(now);
    s.on_up(id, now);
    for (int i = 0; i < n; ++i) {
      s.on_assigned(id, now, {.kind = kind});
      now += took;
      s.on_answered(id, now, true);
    }
    s.on_closed(id);
  }

  Time now{seconds(100)};
};

TEST_F(ConnectionSelectorTest, ExclusiveConnectionsTakeOneAttemptEach) {
  ConnectionSelectorSettings settings;
  settings.max_depth = 4;
  ConnectionSelector s(settings);
  EXPECT_EQ(start(s, {}), 0);
  EXPECT_EQ(start(s, {}), 1);
  EXPECT_EQ(s.depth(0), 1u);
  // Only where none can be had one goes behind another, and no deeper than it may.
  for (int i = 0; i < 6; ++i) EXPECT_GE(start(s, {}, false), 0);
  EXPECT_EQ(s.depth(0), 4u);
  EXPECT_EQ(s.depth(1), 4u);
  EXPECT_EQ(start(s, {}, false), -1);
}

TEST_F(ConnectionSelectorTest, AnUnsafeAttemptTakesNoIdleConnectionThatMayBeClosed) {
  ConnectionSelectorSettings settings;
  ConnectionSelector s(settings);
  start(s, {});
  s.on_answered(0, now, true);
  now += milliseconds(10);
  EXPECT_EQ(s.choose(now, {.unsafe = true}, true).kind, Kind::kOpen) << "not rested";
  EXPECT_EQ(s.choose(now, {.unnamed = true}, true).kind, Kind::kOpen) << "not rested";
  EXPECT_EQ(s.choose(now, {.unnamed = true}, false).kind, Kind::kWait) << "nor without another";
  EXPECT_EQ(s.choose(now, {}, true).kind, Kind::kUse);
  now += milliseconds(50);
  EXPECT_EQ(s.choose(now, {.unnamed = true}, true).kind, Kind::kUse);
  EXPECT_EQ(s.choose(now, {.unsafe = true}, true).kind, Kind::kUse);
  now += milliseconds(600);
  EXPECT_EQ(s.choose(now, {.unsafe = true}, true).kind, Kind::kOpen) << "rested for too long";
  now += seconds(6);
  EXPECT_EQ(s.choose(now, {}, true).kind, Kind::kOpen) << "about to be retired";
}

TEST_F(ConnectionSelectorTest, APipelineStaysOnOneConnection) {
  ConnectionSelector s(shared(4));
  EXPECT_EQ(start(s, {.flow = 7}), 0);
  for (int i = 1; i < 64; ++i) EXPECT_EQ(start(s, {.flow = 7}), 0);
  EXPECT_EQ(s.depth(0), 64u);
  EXPECT_EQ(start(s, {.flow = 7}), 1) << "a full one takes no more";
}

TEST_F(ConnectionSelectorTest, ClientsShareOnceAnswersHaveShownThatNothingIsSlow) {
  ConnectionSelector s(shared());
  EXPECT_EQ(s.shared_depth(), 1u) << "unknown, so taken for dear";
  learn(s, 4000);
  EXPECT_GT(s.shared_depth(), 16u);
  EXPECT_EQ(start(s, {.flow = 1}), 0);
  EXPECT_EQ(start(s, {.flow = 2}), 0);
}

TEST_F(ConnectionSelectorTest, SpreadsOverAFewConnectionsBeforeItShares) {
  ConnectionSelector s(shared(3));
  learn(s, 4000);
  for (std::uint64_t flow = 1; flow <= 3; ++flow)
    EXPECT_EQ(start(s, {.flow = flow}), static_cast<int>(flow - 1));
  EXPECT_LT(start(s, {.flow = 4}), 3);
  EXPECT_EQ(s.open(), 3u);
}

// One in a hundred slow: behind each of them others would wait.
TEST_F(ConnectionSelectorTest, SlowAnswersOfNoKindKeepClientsApart) {
  ConnectionSelector s(shared());
  for (int i = 0; i < 100; ++i) {
    learn(s, 99);
    learn(s, 1, milliseconds(50));
  }
  EXPECT_NEAR(s.slow_share(), 0.01, 0.006);
  EXPECT_EQ(s.shared_depth(), 1u);
  learn(s, 5000);
  EXPECT_GT(s.shared_depth(), 16u) << "it never forgets";
}

// Where it is one command that is slow, that one travels alone and the others go on sharing.
TEST_F(ConnectionSelectorTest, AKindThatIsSlowTravelsAlone) {
  ConnectionSelector s(shared());
  learn(s, 4000);
  for (int i = 0; i < 40; ++i) {
    learn(s, 99);
    learn(s, 1, milliseconds(50), 9);
  }
  ASSERT_TRUE(s.heavy(9));
  EXPECT_FALSE(s.heavy(0));
  EXPECT_GT(s.shared_depth(), 8u);
  const int alone = start(s, {.flow = 1, .kind = 9});
  EXPECT_NE(start(s, {.flow = 2}), alone);
  EXPECT_NE(start(s, {.flow = 3, .kind = 9}), alone);
  EXPECT_EQ(start(s, {.flow = 1}), alone) << "its own client waits for it in any case";
}

TEST_F(ConnectionSelectorTest, AConnectionThatHasGoneQuietGetsNothingMore) {
  ConnectionSelector s(shared());
  learn(s, 4000);
  ASSERT_EQ(start(s, {.flow = 1}), 0);
  now += milliseconds(3);
  EXPECT_TRUE(s.overdue(0, now));
  EXPECT_EQ(start(s, {.flow = 1}), 1);
  EXPECT_EQ(start(s, {.flow = 2}), 1);
  EXPECT_EQ(start(s, {.flow = 2}, false), 1);
  s.on_answered(0, now, true);
  EXPECT_FALSE(s.overdue(0, now));
}

TEST_F(ConnectionSelectorTest, OneConnectionCarriesFewThatMustNeverRunTwice) {
  ConnectionSelector s(shared());
  learn(s, 4000);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(start(s, {.flow = 1, .unsafe = true}), 0);
  EXPECT_EQ(start(s, {.flow = 1, .unsafe = true}), 1);
  EXPECT_EQ(start(s, {.flow = 1}), 0) << "others may still go there";
  EXPECT_EQ(start(s, {.flow = 2}, false), 1);
}

TEST_F(ConnectionSelectorTest, WhatIsOrderedGoesBehindOrWaits) {
  ConnectionSelector s(shared(4));
  learn(s, 4000);
  ASSERT_EQ(start(s, {.flow = 1, .order = 5}), 0);
  EXPECT_EQ(start(s, {.flow = 1, .order = 5, .ordered = true}), 0);
  now += milliseconds(3);
  EXPECT_EQ(start(s, {.flow = 1, .order = 5, .ordered = true}), -1) << "overtook one that is stuck";
  EXPECT_EQ(start(s, {.flow = 1, .order = 6}), 1);
  // Reads of one order that came to lie on two connections: a write waits for one of them.
  ASSERT_EQ(start(s, {.flow = 1, .order = 5}), 1);
  s.on_answered(0, now, true);
  EXPECT_EQ(start(s, {.flow = 1, .order = 5, .ordered = true}), -1);
  s.on_answered(0, now, true);
  EXPECT_EQ(start(s, {.flow = 1, .order = 5, .ordered = true}), 1);
}

TEST_F(ConnectionSelectorTest, OneThatIsToCloseIsNotTaken) {
  ConnectionSelector s(shared());
  learn(s, 4000);
  ASSERT_EQ(start(s, {.flow = 1}), 0);
  ASSERT_EQ(start(s, {.flow = 1}), 0);
  s.on_answered(0, now, false);
  EXPECT_EQ(start(s, {.flow = 1}), 1);
  s.on_closed(0);
  EXPECT_EQ(s.open(), 1u);
}

// Any course of events: the module's own account agrees with one that is kept beside it, and what
// it names keeps every bound.
class RandomSharingTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(RandomSharingTest, KeepsItsBoundsAndItsAccount) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  ConnectionSelectorSettings settings = shared(1 + below(4));
  settings.max_depth = 1 + below(20);
  settings.shared = settings.max_depth > 1 && below(4) > 0;
  ConnectionSelector s(settings);
  Time now{seconds(1)};
  struct Mine {
    bool up = false, keeps_open = true;
    std::deque<AttemptTraits> out;
    std::deque<std::uint64_t> number;
  };
  std::map<ConnectionId, Mine> mine;
  std::uint64_t next = 1;
  std::map<std::uint64_t, std::uint64_t> last_answered;  // by order, of the ordered ones
  for (int round = 0; round < 20000; ++round) {
    now += microseconds(below(20) == 0 ? below(20'000) : below(300));
    const auto any = [&]() {
      return std::next(mine.begin(), static_cast<std::ptrdiff_t>(below(mine.size())));
    };
    switch (below(8)) {
      case 0:
      case 1:
      case 2: {
        AttemptTraits w;
        w.flow = below(5);
        w.order = 1 + below(12);
        w.ordered = true;
        w.unsafe = below(5) == 0;
        w.kind = static_cast<std::uint8_t>(below(3));
        const bool may_open = mine.size() < 6 && below(3) > 0;
        const auto choice = s.choose(now, w, may_open);
        if (choice.kind == Kind::kWait) break;
        ConnectionId id = choice.connection;
        if (choice.kind == Kind::kOpen) {
          ASSERT_TRUE(may_open);
          id = s.on_open(now);
          ASSERT_TRUE(mine.emplace(id, Mine{}).second) << "the name of an open connection";
        }
        ASSERT_TRUE(mine.count(id)) << "a connection that is not open";
        Mine& m = mine[id];
        ASSERT_TRUE(m.keeps_open);
        ASSERT_LT(m.out.size(), settings.max_depth);
        if (w.unsafe && !m.out.empty()) {
          ASSERT_LT(std::count_if(m.out.begin(), m.out.end(), [](auto& o) { return o.unsafe; }),
                    static_cast<std::ptrdiff_t>(settings.max_unsafe));
        }
        if (!m.out.empty()) {
          ASSERT_FALSE(s.overdue(id, now));
        }
        for (const auto& [other, o] : mine) {
          if (other == id) continue;
          ASSERT_TRUE(std::none_of(o.out.begin(), o.out.end(), [&](auto& x) {
            return x.order == w.order;
          })) << "two that are ordered lie on two connections";
        }
        s.on_assigned(id, now, w);
        m.out.push_back(w);
        m.number.push_back(next++);
        break;
      }
      case 3:
        if (!mine.empty()) {
          const auto it = any();
          if (!it->second.up) {
            s.on_up(it->first, now);
            it->second.up = true;
          }
        }
        break;
      case 4:
      case 5:
        if (!mine.empty()) {
          const auto it = any();
          Mine& m = it->second;
          if (!m.up || m.out.empty() || !m.keeps_open) break;
          m.keeps_open = below(30) > 0;
          s.on_answered(it->first, now, m.keeps_open);
          auto& last = last_answered[m.out.front().order];
          ASSERT_LT(last, m.number.front()) << "answered out of order";
          last = m.number.front();
          m.out.pop_front();
          m.number.pop_front();
        }
        break;
      case 6:
        if (!mine.empty()) {
          const auto it = any();
          if (it->second.out.empty()) break;
          const auto place = below(it->second.out.size());
          s.on_taken_back(it->first, place, now);
          it->second.out.erase(it->second.out.begin() + static_cast<std::ptrdiff_t>(place));
          it->second.number.erase(it->second.number.begin() + static_cast<std::ptrdiff_t>(place));
        }
        break;
      default:
        if (!mine.empty() && below(10) == 0) {
          const auto it = any();
          s.on_closed(it->first);
          mine.erase(it);
        }
    }
    ASSERT_EQ(s.open(), mine.size());
    std::size_t idle = 0;
    for (const auto& [id, m] : mine) {
      ASSERT_EQ(s.depth(id), m.out.size());
      idle += m.up && m.out.empty() && m.keeps_open;
    }
    ASSERT_EQ(s.idle().size(), idle);
    ASSERT_TRUE(std::is_sorted(s.idle().begin(), s.idle().end(),
                               [&](auto a, auto b) { return s.idle_since(a) < s.idle_since(b); }));
    ASSERT_GE(s.shared_depth(), 1u);
    ASSERT_LE(s.shared_depth(), std::max<std::size_t>(1, settings.max_depth));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomSharingTest, ::testing::Range(1u, 17u));

}  // namespace
}  // namespace balancer::connection_pool

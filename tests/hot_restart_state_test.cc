// Hot restart: the messages between a process and its successor, and the rights and limits of both.
#include "hot_restart/hot_restart_state.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {
namespace {

using std::chrono::seconds;

// ---- messages

HostRecord host(const std::string& id) {
  HostRecord h;
  h.id = id;
  h.address = std::string("\x7f\0\0\1", 4);
  h.port = 11211;
  h.started_at = UnixTime(seconds(3));
  h.time_since_start = seconds(7);
  h.cell = 2;
  h.state = 1;
  h.weight = 0.5;
  return h;
}

std::vector<Message> examples() {
  Snapshot s;
  s.hosts = {host("s-1"), HostRecord{"s-2", "", 0, {}, {}, true, 0, 0, 0, 1}};
  s.overrides = {{"s-1", true, seconds(4)}};
  s.list_sequence = 41;
  s.has_list = s.client_drain = s.takes_ids = s.takes_ending = true;
  s.resources_held = {200, 1 << 20};
  s.listeners = {"127.0.0.1:11211"};
  return {Hello{1, "n0"},
          s,
          Busy{},
          Serving{},
          OperatorOverride{"s-1", false, seconds(5)},
          ClientDrain{true},
          ResourceShare{100, 1000},
          PassedConnection{"127.0.0.1:11211", std::string("mg k\0", 5), 7},
          RecentIds{{1, 2}},
          Ending{}};
}

TEST(HotRestartWireTest, DecodesWhatItEncoded) {
  for (const Message& m : examples()) EXPECT_EQ(decode(encode(m)), m);
}

// A truncated message is rejected or decodes to one with less content, never to one with more.
TEST(HotRestartWireTest, DecodesNoExtraEntriesFromTruncatedMessages) {
  for (const Message& m : examples()) {
    const std::string whole = encode(m);
    for (std::size_t n = 0; n < whole.size(); ++n) {
      const auto part = decode(std::string_view(whole).substr(0, n));
      if (const auto* s = part ? std::get_if<Snapshot>(&*part) : nullptr) {
        EXPECT_LE(s->hosts.size(), 2u);
        EXPECT_LE(s->overrides.size(), 1u);
      }
    }
  }
}

TEST(HotRestartWireTest, RejectsMessagesOutOfBounds) {
  EXPECT_FALSE(decode(""));
  EXPECT_FALSE(decode("\xff nonsense"));
  EXPECT_FALSE(decode(encode(Hello{0, "n0"})));
  EXPECT_FALSE(decode(encode(Hello{1, std::string(257, 'n')})));
  EXPECT_FALSE(decode(encode(OperatorOverride{"", true, seconds(1)})));
  EXPECT_FALSE(decode(encode(OperatorOverride{"a", true, seconds(-1)})));
  EXPECT_FALSE(decode(encode(PassedConnection{"l", std::string(kMaxPassedInput + 1, 'x'), 0})));
  for (const int kind : {0, 1, 2, 3}) {
    Snapshot s;
    HostRecord h = host("s-1");
    if (kind == 0) h.id.clear();
    if (kind == 1) h.address = "abc";
    if (kind == 2) h.state = 3;
    if (kind == 3) h.weight = std::numeric_limits<double>::infinity();
    s.hosts = {h};
    EXPECT_FALSE(decode(encode(s))) << kind;
  }
  Snapshot many;
  many.hosts.assign(kEntriesPerPart + 1, host("s"));
  EXPECT_FALSE(decode(encode(many)));
}

// Only the fields that have the same meaning in all versions are read from a later version.
TEST(HotRestartWireTest, ReadsOnlyCommonFieldsOfALaterVersion) {
  Snapshot s = std::get<Snapshot>(examples()[1]);
  s.version = 2;
  const auto m = decode(encode(s));
  ASSERT_TRUE(m);
  const auto& decoded = std::get<Snapshot>(*m);
  EXPECT_EQ(decoded.resources_held, s.resources_held);
  EXPECT_EQ(decoded.listeners, s.listeners);
  EXPECT_TRUE(decoded.hosts.empty());
  EXPECT_TRUE(decoded.overrides.empty());
}

TEST(HotRestartWireTest, SplitsALargeFleetIntoBoundedParts) {
  Snapshot whole = std::get<Snapshot>(examples()[1]);
  whole.hosts.clear();
  for (int i = 0; i < 1000; ++i) whole.hosts.push_back(host("s-" + std::to_string(i)));
  Snapshot decoded;
  const auto parts = split(whole);
  EXPECT_EQ(parts.size(), 6u);
  for (const Snapshot& p : parts) {
    const std::string bytes = encode(p);
    EXPECT_LE(bytes.size(), kMaxMessage);
    ASSERT_TRUE(merge_part(decoded, std::get<Snapshot>(*decode(bytes))));
  }
  EXPECT_EQ(decoded, whole);
  Snapshot endless;
  endless.hosts.assign(kEntriesPerPart, host("s"));
  Snapshot sum;
  std::size_t taken = 0;
  while (merge_part(sum, endless)) ++taken;
  EXPECT_EQ(taken, kMaxHosts / kEntriesPerPart);
}

// ---- states

TEST(HotRestartStateTest, AcceptsAgainOnceTheSuccessorIsEnding) {
  HotRestartState t({400, 4000});
  ASSERT_TRUE(t.on_successor(seconds(1)));
  t.on_successor_serving();
  ASSERT_FALSE(t.accepts());
  t.on_successor_ending();
  EXPECT_TRUE(t.accepts());
  EXPECT_EQ(t.share(seconds(1), {50, 0}, {}), (ResourceShare{200, 2000}));
  EXPECT_FALSE(t.on_successor(seconds(1))) << "the first one still holds its share";
  t.on_term();
  EXPECT_FALSE(t.passes_connections()) << "nobody is left to take them";
  t.on_successor_lost();
  EXPECT_TRUE(t.on_successor(seconds(1)));
}

// Both are being terminated: connections that are on their way are still answered there.
TEST(HotRestartStateTest, PassesConnectionsToASuccessorThatEndsLater) {
  HotRestartState t({400, 4000});
  ASSERT_TRUE(t.on_successor(seconds(1)));
  t.on_successor_serving();
  t.on_term();
  t.on_successor_ending();
  EXPECT_TRUE(t.passes_connections());
  EXPECT_FALSE(t.accepts());
}

TEST(HotRestartStateTest, AcceptsOneSuccessorAtATimeAndNoneWhileAPredecessorRuns) {
  HotRestartState t({400, 4000});
  EXPECT_TRUE(t.accepts());
  EXPECT_EQ(t.share(seconds(1), {50, 0}, {}), (ResourceShare{400, 4000}));
  t.on_predecessor({250, 1000});
  EXPECT_EQ(t.share(seconds(1), {50, 0}, {}), (ResourceShare{150, 3000}));
  EXPECT_FALSE(t.on_successor(seconds(1)));
  t.on_predecessor_ended();
  EXPECT_TRUE(t.on_successor(seconds(1)));
  EXPECT_FALSE(t.on_successor(seconds(1)));
  EXPECT_TRUE(t.accepts()) << "accepts clients until the successor serves";
  t.on_successor_serving();
  EXPECT_FALSE(t.accepts());
  EXPECT_FALSE(t.passes_connections()) << "no SIGTERM yet";
  t.on_term();
  EXPECT_TRUE(t.passes_connections());
  t.on_successor_lost();
  EXPECT_TRUE(t.accepts());
  EXPECT_FALSE(t.passes_connections());
}

TEST(HotRestartStateTest, HoldsHalfWhileAPredecessorIsPresumed) {
  HotRestartState t({400, 4000});
  t.on_predecessor_presumed(seconds(10));
  EXPECT_EQ(t.share(seconds(9), {}, {}), (ResourceShare{200, 2000}));
  EXPECT_FALSE(t.on_successor(seconds(9)));
  EXPECT_EQ(t.share(seconds(10), {}, {}), (ResourceShare{400, 4000}));
  EXPECT_TRUE(t.on_successor(seconds(10)));
}

TEST(HotRestartStateTest, NeverLowersLimitsBelowResourcesInUse) {
  HotRestartState t({400, 4000});
  ASSERT_TRUE(t.on_successor(seconds(1)));
  EXPECT_EQ(t.share(seconds(1), {300, 100}, {}), (ResourceShare{300, 2000}));
  EXPECT_EQ(t.share(seconds(1), {250, 100}, {}), (ResourceShare{250, 2000}));
  EXPECT_EQ(t.share(seconds(1), {100, 100}, {}), (ResourceShare{200, 2000}));
}

// The limits of both processes together never exceed the total, for random use and however late the
// reports arrive. This is why the predecessor's limits never grow.
TEST(HotRestartStateTest, LimitsOfBothProcessesNeverExceedTheTotal) {
  const unsigned seed = std::random_device()();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed);
  const auto up_to = [&](std::uint64_t n) {
    return std::uniform_int_distribution<std::uint64_t>(0, n)(random);
  };
  for (int run = 0; run < 300; ++run) {
    const ResourceShare total{100 + up_to(900), 1000 + up_to(100000)};
    HotRestartState old(total), successor(total);
    ResourceShare used{up_to(total.descriptors), up_to(total.bytes)};
    ASSERT_TRUE(old.on_successor(seconds(1)));
    ResourceShare limits = old.share(seconds(1), used, {});
    std::vector<ResourceShare> in_transit;  // reports that the successor has not received yet
    successor.on_predecessor(limits);
    for (int step = 0; step < 60; ++step) {
      if (up_to(9) == 0) old.on_successor_serving();
      if (up_to(19) == 0) old.on_term();
      // The predecessor uses at most its limits.
      used = {up_to(limits.descriptors), up_to(limits.bytes)};
      limits = old.share(seconds(2), used, {up_to(50), up_to(5000)});
      ASSERT_GE(limits.descriptors, used.descriptors);
      in_transit.push_back(limits);
      if (up_to(2) == 0) {
        successor.on_predecessor(in_transit.front());
        in_transit.erase(in_transit.begin());
      }
      const ResourceShare successor_limits = successor.share(seconds(2), {}, {});
      ASSERT_LE(limits.descriptors + successor_limits.descriptors, total.descriptors);
      ASSERT_LE(limits.bytes + successor_limits.bytes, total.bytes);
    }
  }
}

}  // namespace
}  // namespace balancer::hot_restart

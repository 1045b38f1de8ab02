// Slots, views that disagree, redirections. A cluster of nodes that learn from each other late
// stands in for the real one; one seed a run.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "cluster/router.h"
#include "cluster/scan.h"
#include "cluster/slots.h"

namespace balancer::cluster {
namespace {

using std::chrono::milliseconds;
using Verdict = Router::Verdict;

TEST(Slots, AsTheSpecificationHasThem) {
  EXPECT_EQ(crc16("123456789"), 0x31c3);
  EXPECT_EQ(slot_of("foo"), 12182);
  EXPECT_EQ(slot_of("{user1000}.following"), slot_of("{user1000}.followers"));
  EXPECT_EQ(slot_of("foo{bar}{zap}"), slot_of("bar"));
  EXPECT_EQ(slot_of("foo{{bar}}zap"), slot_of("{bar"));
  EXPECT_EQ(slot_of("foo{}{bar}"), crc16("foo{}{bar}") % kSlots);
  EXPECT_EQ(slot_of("foo{bar"), crc16("foo{bar") % kSlots);
  EXPECT_EQ(slot_of(""), 0);
}

const std::string kNodes =
    "07c3 127.0.0.1:30004@31004,hostname4 slave e7d1 0 1426238317239 4 connected\n"
    "67ed 127.0.0.1:30002@31002 master - 0 1426238316232 2 connected 5461-10922 [93-<-e7d1]\n"
    "292f 127.0.0.1:30003@31003 master - 0 1426238318243 3 connected 10923-16383\n"
    "6ec2 127.0.0.1:30005@31005 slave,fail 67ed 0 1426238316232 5 disconnected\n"
    "e7d1 :30001@31001 myself,master - 0 0 1 connected 0-5460 [77->-67ed] 16999\n"
    "aaaa :0@0 master,noaddr - 0 0 9 disconnected\n";

TEST(Views, OfClusterNodes) {
  const auto view = read_nodes(kNodes, "127.0.0.1:30001");
  ASSERT_TRUE(view);
  ASSERT_EQ(view->shards.size(), 3u);
  EXPECT_EQ(view->epoch, 9u);
  EXPECT_EQ(view->shards[2].primary, "127.0.0.1:30001");
  EXPECT_EQ(view->shards[2].replicas, std::vector<std::string>{"127.0.0.1:30004"});
  EXPECT_EQ(view->shards[2].epoch, 1u);
  ASSERT_EQ(view->shards[2].slots.size(), 1u);
  EXPECT_EQ(view->shards[2].slots[0].last, 5460);
  EXPECT_TRUE(view->shards[0].replicas.empty()) << "its only replica has failed";
  EXPECT_FALSE(read_nodes("what is this\n", "h:1"));
}

TEST(Views, OfClusterSlotsAndShards) {
  const resp::Bounds bounds;
  const std::string slots =
      "*3\r\n"
      "*4\r\n:0\r\n:5460\r\n*3\r\n$9\r\n127.0.0.1\r\n:30001\r\n$1\r\na\r\n"
      "*3\r\n$0\r\n\r\n:30004\r\n$1\r\nb\r\n"
      "*3\r\n:5461\r\n:5461\r\n*2\r\n$-1\r\n:30002\r\n"
      "*3\r\n:9\r\n:3\r\n*2\r\n$1\r\nx\r\n:1\r\n";
  const auto view = read_slots(*resp::parse_reply(slots, bounds), "127.0.0.1:30009", 7);
  ASSERT_TRUE(view);
  ASSERT_EQ(view->shards.size(), 2u) << "a range that ends before it begins counts as none";
  EXPECT_EQ(view->shards[0].replicas, std::vector<std::string>{"127.0.0.1:30004"});
  EXPECT_EQ(view->shards[1].primary, "127.0.0.1:30002");
  EXPECT_EQ(view->shards[1].epoch, 7u);
  std::string shards;
  resp::append_array(shards, 1);
  resp::append_map(shards, 2, 3);
  resp::append_bulk(shards, "slots");
  resp::append_array(shards, 4);
  for (const int s : {0, 5, 8, 9}) resp::append_integer(shards, s);
  resp::append_bulk(shards, "nodes");
  resp::append_array(shards, 2);
  for (const std::string role : {"replica", "master"}) {
    resp::append_map(shards, 3, 3);
    resp::append_bulk(shards, "ip");
    resp::append_bulk(shards, role == "master" ? "10.0.0.1" : "10.0.0.2");
    resp::append_bulk(shards, "port");
    resp::append_integer(shards, 6379);
    resp::append_bulk(shards, "role");
    resp::append_bulk(shards, role);
  }
  const auto by_shard = read_shards(*resp::parse_reply(shards, bounds), "h:1", 3);
  ASSERT_TRUE(by_shard);
  ASSERT_EQ(by_shard->shards.size(), 1u);
  EXPECT_EQ(by_shard->shards[0].primary, "10.0.0.1:6379");
  EXPECT_EQ(by_shard->shards[0].replicas, std::vector<std::string>{"10.0.0.2:6379"});
  EXPECT_EQ(by_shard->shards[0].slots.size(), 2u);
  EXPECT_FALSE(read_slots(*resp::parse_reply("+OK\r\n", bounds), "h:1", 0));
  EXPECT_EQ(read_epoch("cluster_state:ok\r\ncluster_current_epoch:6\r\n"), 6u);
  EXPECT_EQ(read_epoch("nothing"), 0u);
}

View view_of(const std::string& from, std::uint64_t epoch,
             std::vector<std::tuple<std::string, Slot, Slot, std::uint64_t>> claims) {
  View view{from, epoch, {}};
  for (const auto& [primary, first, last, e] : claims)
    view.shards.push_back({primary, {}, {{first, last}}, e});
  return view;
}

TEST(SlotTable, AnOlderEpochNeverOverwritesANewer) {
  SlotTable table(8);
  EXPECT_TRUE(table.merge(view_of("a:1", 2, {{"a:1", 0, 99, 1}, {"b:1", 100, 199, 2}})));
  EXPECT_TRUE(table.merge(view_of("b:1", 3, {{"a:1", 0, 49, 1}, {"b:1", 50, 199, 3}})));
  EXPECT_EQ(table.owner(50), table.find("b:1"));
  // One that is behind, and lists both: nothing changes.
  EXPECT_FALSE(table.merge(view_of("a:1", 2, {{"a:1", 0, 99, 1}, {"b:1", 100, 199, 2}})));
  EXPECT_EQ(table.owner(50), table.find("b:1"));
  // One that is behind and has never heard of b takes nothing from it either.
  EXPECT_FALSE(table.merge(view_of("a:1", 2, {{"a:1", 0, 199, 1}})));
  EXPECT_EQ(table.owner(150), table.find("b:1"));
  // Nor does an empty one.
  EXPECT_FALSE(table.merge(View{"c:1", 9, {}}));
  EXPECT_EQ(table.assigned(), 200u);
  // b was forgotten by a cluster that has gone on.
  EXPECT_TRUE(table.merge(view_of("a:1", 4, {{"a:1", 0, 199, 1}})));
  EXPECT_EQ(table.owner(150), table.find("a:1"));
  EXPECT_FALSE(table.find("b:1")) << "and has no place any more";
}

TEST(SlotTable, OnlyTheOwnersWordMovesASlot) {
  SlotTable table(8);
  table.merge(view_of("a:1", 1, {{"a:1", 0, 99, 1}}));
  const auto a = *table.find("a:1"), b = *table.add("b:1"), c = *table.add("c:1");
  EXPECT_FALSE(table.moved(5, b, c));
  EXPECT_FALSE(table.moved(5, a, a));
  EXPECT_TRUE(table.moved(5, a, b));
  EXPECT_EQ(table.owner(5), b);
  // What the old owner claimed with the same epoch does not bring it back.
  table.merge(view_of("a:1", 1, {{"a:1", 0, 99, 1}, {"b:1", 200, 200, 1}, {"c:1", 201, 201, 1}}));
  EXPECT_EQ(table.owner(5), b);
}

TEST(SlotTable, AsManyRangesAsSlotsAndAsManyNodesAsAllowed) {
  SlotTable table(3);
  View view{"n0:1", 1, {}};
  for (int n = 0; n < 5; ++n) view.shards.push_back({"n" + std::to_string(n) + ":1", {}, {}, 1});
  for (std::uint32_t s = 0; s < kSlots; ++s)
    view.shards[s % 5].slots.push_back({static_cast<Slot>(s), static_cast<Slot>(s)});
  EXPECT_TRUE(table.merge(view));
  EXPECT_EQ(table.nodes().size(), 3u);
  for (Slot s = 0; s < 20; ++s) EXPECT_EQ(table.owner(s).has_value(), s % 5 < 3) << s;
}

class RouterTest : public ::testing::Test {
 protected:
  void learn(const View& view) {
    router->begin_refresh(now);
    router->end_refresh(now, view);
    list();
  }
  // What the pool does when nodes come or go.
  void list() {
    std::vector<Placement::PlacedHost> joined;
    const auto nodes = router->nodes();
    for (const auto& node : nodes)
      if (names.try_emplace(node, names.size()).second)
        joined.push_back({names[node], names.find(node)->first, 1});
    router->insert(joined);
  }
  // The nodes offered, in order.
  std::vector<std::string> offered(const std::string& text, RequestId request) {
    std::vector<std::string> out;
    router->walk(router->point(text), request, [&](Placement::Host h) {
      for (const auto& [name, host] : names)
        if (host == h) out.push_back(name);
      return false;
    });
    return out;
  }
  Verdict error(RequestId request, const std::string& from, const std::string& text) {
    const auto verdict = router->on_error(now, request, from, text);
    list();
    return verdict;
  }
  using Names = std::vector<std::string>;

  const std::string key = "foo";  // slot 12182
  Time now{std::chrono::seconds(100)};
  std::map<std::string, Placement::Host> names;
  std::unique_ptr<Router> router = std::make_unique<Router>(RouterSettings{.seeds = {"a:1"}});
};

TEST_F(RouterTest, MovedGoesOnAndIsLearntAskOnlyGoesOn) {
  learn(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  router->begin(1, slot_of(key), Reads::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
  EXPECT_EQ(error(1, "a:1", "ASK 12182 b:1"), Verdict::kRedirected);
  EXPECT_EQ(offered(key, 1), Names{"b:1"});
  EXPECT_TRUE(router->asking(1, "b:1"));
  EXPECT_FALSE(router->asking(1, "a:1"));
  router->begin(2, slot_of(key), Reads::kPrimary);
  EXPECT_EQ(offered(key, 2), Names{"a:1"}) << "ASK holds for one request";
  EXPECT_EQ(error(2, "a:1", "MOVED 12182 b:1"), Verdict::kRedirected);
  EXPECT_FALSE(router->asking(2, "b:1"));
  router->begin(3, slot_of(key), Reads::kPrimary);
  EXPECT_EQ(offered(key, 3), Names{"b:1"}) << "MOVED holds for the slot";
  EXPECT_EQ(offered("bar", 3), Names{"a:1"}) << "and for that only";
}

TEST_F(RouterTest, LoopsAreKnownAndChainsAreBounded) {
  learn(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 a:1"), Verdict::kLater) << "names itself";
  EXPECT_TRUE(offered(key, 1).empty());
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 b:1"), Verdict::kRedirected);
  EXPECT_EQ(error(1, "b:1", "MOVED 12182 a:1"), Verdict::kRedirected) << "it may have moved back";
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 b:1"), Verdict::kLater) << "A says B, B says A";
  EXPECT_EQ(router->counters().loops, 2u);
  router->begin(2, 12182, Reads::kPrimary);
  int hops = 0;
  while (error(2, "n" + std::to_string(hops) + ":1",
               "MOVED 12182 n" + std::to_string(hops + 1) + ":1") == Verdict::kRedirected)
    ++hops;
  EXPECT_EQ(hops, 0) << "from a node that nobody knows";
  ASSERT_EQ(error(2, "a:1", "ASK 12182 n0:1"), Verdict::kRedirected);
  while (error(2, "n" + std::to_string(hops) + ":1",
               "MOVED 12182 n" + std::to_string(hops + 1) + ":1") == Verdict::kRedirected)
    ++hops;
  EXPECT_EQ(hops, 4) << "five with the first";
}

TEST_F(RouterTest, WhatIsNoRedirectionAndWhatCannotBeRead) {
  learn(view_of("a:1", 2, {{"a:1", 0, 16383, 1}}));
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(error(1, "a:1", "ERR no such key"), Verdict::kAnswer);
  EXPECT_EQ(error(1, "a:1", "WRONGTYPE Operation"), Verdict::kAnswer);
  EXPECT_EQ(error(1, "a:1", "MOVEDON 1 b:1"), Verdict::kAnswer);
  for (const std::string text : {"MOVED", "MOVED ", "MOVED x b:1", "MOVED 12182", "MOVED 16384 b:1",
                                 "MOVED 12182 b", "MOVED 12182 b:0", "MOVED 12182 b:70000",
                                 "ASK 12182 ?:1", "ASK 12182 b:1 x", "MOVED -1 b:1"})
    EXPECT_EQ(error(1, "a:1", text), Verdict::kSpoilt) << text;
  for (const std::string text : {"TRYAGAIN x", "CLUSTERDOWN x", "LOADING x", "READONLY x"})
    EXPECT_EQ(error(1, "a:1", text), Verdict::kLater) << text;
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"}) << "nothing of it was learnt";
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 :7"), Verdict::kRedirected) << "the host that answered";
  EXPECT_EQ(offered(key, 1), Names{"a:7"});
}

// The old owner came back as a replica, or thinks that it is one.
TEST_F(RouterTest, AReplicaThatIsAskedToWritePointsToTheOwner) {
  learn(view_of("a:1", 2, {{"a:1", 0, 16383, 1}}));
  router->begin(1, 12182, Reads::kPrimary);
  learn(view_of("b:1", 3, {{"b:1", 0, 16383, 3}, {"a:1", 1, 0, 1}}));
  EXPECT_EQ(error(1, "a:1", "READONLY You can't write against a read only replica."),
            Verdict::kRedirected);
  EXPECT_EQ(offered(key, 1), Names{"b:1"});
}

TEST_F(RouterTest, ReplicasServeWhereTheClassAllows) {
  View view = view_of("a:1", 2, {{"a:1", 0, 16383, 1}});
  view.shards[0].replicas = {"r:1", "s:1"};
  learn(view);
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
  std::set<std::string> first;
  for (RequestId id = 10; id < 16; ++id) {
    router->begin(id, 12182, Reads::kReplica);
    const auto order = offered(key, id);
    ASSERT_EQ(order.size(), 2u);
    first.insert(order.front());
    EXPECT_TRUE(router->reads_replica(id, order.front()));
    EXPECT_FALSE(router->reads_replica(id, "a:1"));
  }
  EXPECT_EQ(first.size(), 2u);
  first.clear();
  for (RequestId id = 20; id < 26; ++id) {
    router->begin(id, 12182, Reads::kAny);
    first.insert(offered(key, id).front());
  }
  EXPECT_EQ(first.size(), 3u);
}

TEST_F(RouterTest, WhereNobodyKnowsAnyNodeIsAsked) {
  list();
  router->begin(1, 12182, Reads::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
}

// A storm of MOVED leads to one refresh at a time, and to so many a second.
TEST_F(RouterTest, AStormOfMovedAsksSeldom) {
  learn(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  const auto before = router->counters().refreshes;
  for (int ms = 0; ms < 1000; ++ms) {
    now += milliseconds(1);
    for (RequestId id = 1; id <= 20; ++id) {
      router->begin(id, 12182, Reads::kPrimary);
      error(id, ms % 2 ? "a:1" : "b:1", ms % 2 ? "MOVED 12182 b:1" : "MOVED 12182 a:1");
      router->end(id);
    }
    const auto at = router->refresh_at();
    if (at && now >= *at) {
      EXPECT_FALSE(router->begin_refresh(now).empty());
      EXPECT_FALSE(router->refresh_at()) << "one is under way";
    } else if (!at && ms % 7 == 0) {
      router->end_refresh(now, view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
    }
  }
  EXPECT_LE(router->counters().refreshes - before, 10u);
  EXPECT_GE(router->counters().refreshes - before, 8u);
}

TEST_F(RouterTest, FailedRefreshesBackOffAndAskEveryNode) {
  View view = view_of("a:1", 2, {{"a:1", 0, 16383, 1}});
  view.shards[0].replicas = {"r:1", "s:1"};
  learn(view);
  std::set<std::string> asked;
  Time last = now;
  Duration gap{0};
  for (int i = 0; i < 12; ++i) {
    router->on_broken("a:1");
    const auto at = router->refresh_at();
    ASSERT_TRUE(at);
    EXPECT_GE(*at - last, gap);
    EXPECT_LE(*at - last, std::chrono::seconds(5));
    gap = *at - last;
    last = now = *at;
    asked.insert(router->begin_refresh(now));
    router->end_refresh(now, i % 2 ? std::optional<View>() : View{"r:1", 9, {}});
  }
  EXPECT_EQ(asked.size(), 3u);
  EXPECT_EQ(router->table().assigned(), kSlots) << "nothing is forgotten meanwhile";
}

// ---- a cluster that learns late

struct Model {
  struct Claim {
    int owner = 0;
    std::uint64_t epoch = 0;
  };
  struct Node {
    std::map<Slot, Claim> known;
  };

  Model(int n, int slots, std::mt19937& r) : random(r), nodes(static_cast<std::size_t>(n)) {
    for (int s = 0; s < slots; ++s) truth[static_cast<Slot>(s)] = {s % n, 1};
    for (auto& node : nodes) node.known = truth;
  }
  static std::string name(int n) { return "n" + std::to_string(n) + ":1"; }
  // The new owner takes a newer epoch, and knows first; the old one is told.
  void move(Slot slot, int to) {
    const int from = truth[slot].owner;
    truth[slot] = {to, ++epoch};
    at(to).known[slot] = truth[slot];
    if (random() % 4) at(from).known[slot] = truth[slot];
  }
  void gossip() {
    Node& a = nodes[random() % nodes.size()];
    const Node& b = nodes[random() % nodes.size()];
    for (const auto& [slot, claim] : b.known)
      if (claim.epoch > a.known[slot].epoch) a.known[slot] = claim;
  }
  Node& at(int n) { return nodes[static_cast<std::size_t>(n)]; }
  View view(int n) {
    View v{name(n), 0, {}};
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
      v.shards.push_back({name(i), {}, {}, 0});
    // Claims of one node with different epochs are told apart, as if each were of its own shard.
    for (const auto& [slot, claim] : at(n).known) {
      v.shards.push_back({name(claim.owner), {}, {{slot, slot}}, claim.epoch});
      v.epoch = std::max(v.epoch, claim.epoch);
    }
    return v;
  }

  std::mt19937& random;
  std::map<Slot, Claim> truth;
  std::vector<Node> nodes;
  std::uint64_t epoch = 1;
};

TEST_F(RouterTest, ManyMovesAmongNodesThatLearnLate) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const int n = 2 + static_cast<int>(random() % 6), slots = 1 + static_cast<int>(random() % 20);
    Model model(n, slots, random);
    router = std::make_unique<Router>(RouterSettings{.seeds = {Model::name(0)}});
    names.clear();
    std::map<Slot, std::uint64_t> highest;
    learn(model.view(0));
    RequestId id = 0;
    int served = 0;
    const auto ask = [&](Slot slot) {  // how many nodes it took; 0: none served it
      router->begin(++id, slot, Reads::kPrimary);
      int node = -1, hops = 0;
      while (true) {
        std::string target;
        router->walk(slot, id, [&](Placement::Host h) {
          for (const auto& [name, host] : names)
            if (host == h) target = name;
          return true;
        });
        if (target.empty()) break;
        node = std::stoi(target.substr(1));
        ++hops;
        EXPECT_LE(hops, 6) << "five redirections at the most";
        const auto claim = model.at(node).known[slot];
        if (claim.owner == node) {
          router->end(id);
          return hops;
        }
        if (error(id, target, "MOVED " + std::to_string(slot) + " " + Model::name(claim.owner)) !=
            Verdict::kRedirected)
          break;
      }
      router->end(id);
      return 0;
    };
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(20);
      const Slot slot = static_cast<Slot>(random() % static_cast<unsigned>(slots));
      if (random() % 5 == 0)
        model.move(slot, static_cast<int>(random() % static_cast<unsigned>(n)));
      if (random() % 2) model.gossip();
      served += ask(slot) > 0;
      if (const auto at = router->refresh_at(); at && now >= *at) {
        const auto whom = router->begin_refresh(now);
        router->end_refresh(now, model.view(std::stoi(whom.substr(1))));
        list();
      }
    }
    EXPECT_GT(served, 300);
    for (int i = 0; i < 400; ++i) model.gossip();
    learn(model.view(0));
    for (const auto& [slot, claim] : model.truth) {
      EXPECT_EQ(ask(slot), 1) << "slot " << slot << " goes astray after all have learnt";
    }
  }
}

// A walk over nodes while slots move and nodes leave: every key is told, as the table always knows.
class ScanPlanTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(ScanPlanTest, LeavesNoKeyOut) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
  const int nodes = 2 + below(6);
  std::vector<int> owner(kSlots);
  for (auto& o : owner) o = below(static_cast<std::uint64_t>(nodes));
  const auto address = [](int n) { return "127.0.0.1:" + std::to_string(7000 + n); };
  SlotTable table(64);
  std::uint64_t epoch = 1;
  const auto tell = [&] {
    View view{address(0), epoch, {}};
    for (int n = 0; n < nodes; ++n) {
      Shard shard{address(n), {}, {}, epoch};
      for (std::uint32_t s = 0; s < kSlots; ++s)
        if (owner[s] == n) shard.slots.push_back({static_cast<Slot>(s), static_cast<Slot>(s)});
      view.shards.push_back(std::move(shard));
    }
    ++epoch;
    table.merge(view);
  };
  tell();
  // One key a slot; a page of a node holds those of the next slots that are its own.
  std::vector<bool> told(kSlots);
  ScanPlan plan;
  int pages = 0;
  while (const auto step = plan.next(table)) {
    ASSERT_LT(++pages, 20'000);
    int at = 0;
    for (int n = 0; n < nodes; ++n)
      if (address(n) == step->node) at = n;
    auto s = static_cast<std::uint32_t>(step->cursor);
    for (int keys = 0; s < kSlots && keys < 500; ++s)
      if (owner[s] == at) {
        told[s] = true;
        ++keys;
      }
    // Moves end at some time, or there would be no end to the walk.
    if (pages < 200 && below(3) == 0) {
      for (int i = below(20); i >= 0; --i)
        owner[random() % kSlots] = below(static_cast<std::uint64_t>(nodes));
      tell();
    }
    plan.on_page(table, s == kSlots ? 0 : s);
  }
  EXPECT_FALSE(plan.given_up());
  EXPECT_EQ(std::count(told.begin(), told.end(), false), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ScanPlanTest, ::testing::Range(1u, 13u));

}  // namespace
}  // namespace balancer::cluster

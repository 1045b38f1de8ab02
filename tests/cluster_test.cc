// Slots, merging of conflicting views, redirections and scans. A model of a cluster whose nodes
// learn of slot moves late replaces the real cluster; each run uses one seed.
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

TEST(SlotOf, MatchesTheClusterSpecification) {
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

TEST(ClusterView, ParsesClusterNodes) {
  const auto view = parse_cluster_nodes(kNodes, "127.0.0.1:30001");
  ASSERT_TRUE(view);
  ASSERT_EQ(view->shards.size(), 3u);
  EXPECT_EQ(view->epoch, 9u);
  EXPECT_EQ(view->shards[2].primary, "127.0.0.1:30001");
  EXPECT_EQ(view->shards[2].replicas, std::vector<std::string>{"127.0.0.1:30004"});
  EXPECT_EQ(view->shards[2].epoch, 1u);
  ASSERT_EQ(view->shards[2].slots.size(), 1u);
  EXPECT_EQ(view->shards[2].slots[0].last, 5460);
  EXPECT_TRUE(view->shards[0].replicas.empty()) << "its only replica is marked as failed";
  EXPECT_FALSE(parse_cluster_nodes("what is this\n", "h:1"));
}

TEST(ClusterView, ParsesClusterSlotsAndShards) {
  const resp::InputLimits bounds;
  const std::string slots =
      "*3\r\n"
      "*4\r\n:0\r\n:5460\r\n*3\r\n$9\r\n127.0.0.1\r\n:30001\r\n$1\r\na\r\n"
      "*3\r\n$0\r\n\r\n:30004\r\n$1\r\nb\r\n"
      "*3\r\n:5461\r\n:5461\r\n*2\r\n$-1\r\n:30002\r\n"
      "*3\r\n:9\r\n:3\r\n*2\r\n$1\r\nx\r\n:1\r\n";
  const auto view = parse_cluster_slots(*resp::parse_reply(slots, bounds), "127.0.0.1:30009", 7);
  ASSERT_TRUE(view);
  ASSERT_EQ(view->shards.size(), 2u) << "a range whose end precedes its start must be skipped";
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
  const auto by_shard = parse_cluster_shards(*resp::parse_reply(shards, bounds), "h:1", 3);
  ASSERT_TRUE(by_shard);
  ASSERT_EQ(by_shard->shards.size(), 1u);
  EXPECT_EQ(by_shard->shards[0].primary, "10.0.0.1:6379");
  EXPECT_EQ(by_shard->shards[0].replicas, std::vector<std::string>{"10.0.0.2:6379"});
  EXPECT_EQ(by_shard->shards[0].slots.size(), 2u);
  EXPECT_FALSE(parse_cluster_slots(*resp::parse_reply("+OK\r\n", bounds), "h:1", 0));
  EXPECT_EQ(parse_current_epoch("cluster_state:ok\r\ncluster_current_epoch:6\r\n"), 6u);
  EXPECT_EQ(parse_current_epoch("nothing"), 0u);
}

View view_of(const std::string& from, std::uint64_t epoch,
             std::vector<std::tuple<std::string, Slot, Slot, std::uint64_t>> claims) {
  View view{from, epoch, {}};
  for (const auto& [primary, first, last, e] : claims)
    view.shards.push_back({primary, {}, {{first, last}}, e});
  return view;
}

TEST(SlotTable, IgnoresClaimsWithOlderEpochs) {
  SlotTable table(8);
  EXPECT_TRUE(table.merge(view_of("a:1", 2, {{"a:1", 0, 99, 1}, {"b:1", 100, 199, 2}})));
  EXPECT_TRUE(table.merge(view_of("b:1", 3, {{"a:1", 0, 49, 1}, {"b:1", 50, 199, 3}})));
  EXPECT_EQ(table.owner(50), table.find("b:1"));
  // An outdated view that lists both nodes changes nothing.
  EXPECT_FALSE(table.merge(view_of("a:1", 2, {{"a:1", 0, 99, 1}, {"b:1", 100, 199, 2}})));
  EXPECT_EQ(table.owner(50), table.find("b:1"));
  // Nor does an outdated view that does not know b.
  EXPECT_FALSE(table.merge(view_of("a:1", 2, {{"a:1", 0, 199, 1}})));
  EXPECT_EQ(table.owner(150), table.find("b:1"));
  // Nor does an empty view.
  EXPECT_FALSE(table.merge(View{"c:1", 9, {}}));
  EXPECT_EQ(table.assigned(), 200u);
  // A view with a newer epoch no longer lists b.
  EXPECT_TRUE(table.merge(view_of("a:1", 4, {{"a:1", 0, 199, 1}})));
  EXPECT_EQ(table.owner(150), table.find("a:1"));
  EXPECT_FALSE(table.find("b:1")) << "b should have been removed";
}

TEST(SlotTable, ReassignsASlotOnlyOnMovedFromItsOwner) {
  SlotTable table(8);
  table.merge(view_of("a:1", 1, {{"a:1", 0, 99, 1}}));
  const auto a = *table.find("a:1"), b = *table.add("b:1"), c = *table.add("c:1");
  EXPECT_FALSE(table.on_moved(5, b, c));
  EXPECT_FALSE(table.on_moved(5, a, a));
  EXPECT_TRUE(table.on_moved(5, a, b));
  EXPECT_EQ(table.owner(5), b);
  // A claim of the old owner with the same epoch does not restore it.
  table.merge(view_of("a:1", 1, {{"a:1", 0, 99, 1}, {"b:1", 200, 200, 1}, {"c:1", 201, 201, 1}}));
  EXPECT_EQ(table.owner(5), b);
}

TEST(SlotTable, AcceptsOneRangePerSlotAndBoundsItsNodes) {
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
  void merge(const View& view) {
    router->begin_refresh(now);
    router->end_refresh(now, view);
    insert_new_nodes();
  }
  // Announces new nodes to the router as hosts, as the pool does.
  void insert_new_nodes() {
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
    router->visit_candidates(router->point(text), request, [&](Placement::Host h) {
      for (const auto& [name, host] : names)
        if (host == h) out.push_back(name);
      return false;
    });
    return out;
  }
  Verdict error(RequestId request, const std::string& from, const std::string& text) {
    const auto verdict = router->on_error(now, request, from, text);
    insert_new_nodes();
    return verdict;
  }
  using Names = std::vector<std::string>;

  const std::string key = "foo";  // slot 12182
  Time now{std::chrono::seconds(100)};
  std::map<std::string, Placement::Host> names;
  std::unique_ptr<Router> router = std::make_unique<Router>(RouterSettings{.seeds = {"a:1"}});
};

TEST_F(RouterTest, FollowsAskOnceAndMovedForAllRequestsOfTheSlot) {
  merge(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  router->begin(1, slot_of(key), ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
  EXPECT_EQ(error(1, "a:1", "ASK 12182 b:1"), Verdict::kRedirected);
  EXPECT_EQ(offered(key, 1), Names{"b:1"});
  EXPECT_TRUE(router->asking(1, "b:1"));
  EXPECT_FALSE(router->asking(1, "a:1"));
  router->begin(2, slot_of(key), ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 2), Names{"a:1"}) << "ASK must apply to one request only";
  EXPECT_EQ(error(2, "a:1", "MOVED 12182 b:1"), Verdict::kRedirected);
  EXPECT_FALSE(router->asking(2, "b:1"));
  router->begin(3, slot_of(key), ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 3), Names{"b:1"}) << "MOVED must apply to the slot";
  EXPECT_EQ(offered("bar", 3), Names{"a:1"}) << "MOVED must not apply to other slots";
}

TEST_F(RouterTest, DetectsRedirectionLoopsAndBoundsRedirections) {
  merge(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 a:1"), Verdict::kUnavailable) << "the node names itself";
  EXPECT_TRUE(offered(key, 1).empty());
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 b:1"), Verdict::kRedirected);
  EXPECT_EQ(error(1, "b:1", "MOVED 12182 a:1"), Verdict::kRedirected)
      << "the slot may have moved back";
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 b:1"), Verdict::kUnavailable) << "a names b and b names a";
  EXPECT_EQ(router->counters().loops, 2u);
  router->begin(2, 12182, ReadPreference::kPrimary);
  int hops = 0;
  while (error(2, "n" + std::to_string(hops) + ":1",
               "MOVED 12182 n" + std::to_string(hops + 1) + ":1") == Verdict::kRedirected)
    ++hops;
  EXPECT_EQ(hops, 0) << "redirected by an unknown node";
  ASSERT_EQ(error(2, "a:1", "ASK 12182 n0:1"), Verdict::kRedirected);
  while (error(2, "n" + std::to_string(hops) + ":1",
               "MOVED 12182 n" + std::to_string(hops + 1) + ":1") == Verdict::kRedirected)
    ++hops;
  EXPECT_EQ(hops, 4) << "five redirections, including the first";
}

TEST_F(RouterTest, ClassifiesErrorReplies) {
  merge(view_of("a:1", 2, {{"a:1", 0, 16383, 1}}));
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(error(1, "a:1", "ERR no such key"), Verdict::kAnswer);
  EXPECT_EQ(error(1, "a:1", "WRONGTYPE Operation"), Verdict::kAnswer);
  EXPECT_EQ(error(1, "a:1", "MOVEDON 1 b:1"), Verdict::kAnswer);
  for (const std::string text : {"MOVED", "MOVED ", "MOVED x b:1", "MOVED 12182", "MOVED 16384 b:1",
                                 "MOVED 12182 b", "MOVED 12182 b:0", "MOVED 12182 b:70000",
                                 "ASK 12182 ?:1", "ASK 12182 b:1 x", "MOVED -1 b:1"})
    EXPECT_EQ(error(1, "a:1", text), Verdict::kMalformed) << text;
  for (const std::string text : {"TRYAGAIN x", "CLUSTERDOWN x", "LOADING x", "READONLY x"})
    EXPECT_EQ(error(1, "a:1", text), Verdict::kUnavailable) << text;
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"})
      << "malformed redirections must not change the slot table";
  EXPECT_EQ(error(1, "a:1", "MOVED 12182 :7"), Verdict::kRedirected)
      << "an empty host means the host that answered";
  EXPECT_EQ(offered(key, 1), Names{"a:7"});
}

// The old owner is now a replica, or believes that it is.
TEST_F(RouterTest, GoesToTheOwnerAfterReadonlyFromAReplica) {
  merge(view_of("a:1", 2, {{"a:1", 0, 16383, 1}}));
  router->begin(1, 12182, ReadPreference::kPrimary);
  merge(view_of("b:1", 3, {{"b:1", 0, 16383, 3}, {"a:1", 1, 0, 1}}));
  EXPECT_EQ(error(1, "a:1", "READONLY You can't write against a read only replica."),
            Verdict::kRedirected);
  EXPECT_EQ(offered(key, 1), Names{"b:1"});
}

TEST_F(RouterTest, OffersReplicasIfReadsAllow) {
  View view = view_of("a:1", 2, {{"a:1", 0, 16383, 1}});
  view.shards[0].replicas = {"r:1", "s:1"};
  merge(view);
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
  std::set<std::string> first;
  for (RequestId id = 10; id < 16; ++id) {
    router->begin(id, 12182, ReadPreference::kReplica);
    const auto order = offered(key, id);
    ASSERT_EQ(order.size(), 2u);
    first.insert(order.front());
    EXPECT_TRUE(router->reads_replica(id, order.front()));
    EXPECT_FALSE(router->reads_replica(id, "a:1"));
  }
  EXPECT_EQ(first.size(), 2u);
  first.clear();
  for (RequestId id = 20; id < 26; ++id) {
    router->begin(id, 12182, ReadPreference::kAny);
    first.insert(offered(key, id).front());
  }
  EXPECT_EQ(first.size(), 3u);
}

// Connections that were opened before the id of a node was known have not asked for it.
TEST_F(RouterTest, TakesANodeForAnotherProcessOnceItsIdIsKnown) {
  using Processes = std::vector<std::pair<std::string, std::uint64_t>>;
  EXPECT_EQ(router->processes(), (Processes{{"a:1", 0}}));
  View view = view_of("a:1", 3, {{"a:1", 0, 8191, 3}, {"b:1", 8192, 16383, 3}});
  view.ids = {{"a:1", "id-a"}, {"b:1", "id-b"}};
  merge(view);
  EXPECT_EQ(router->processes(), (Processes{{"a:1", 1}, {"b:1", 0}}));
  merge(view);
  EXPECT_EQ(router->processes(), (Processes{{"a:1", 1}, {"b:1", 0}}));
}

// A node that has failed and the one that has taken its address are both listed.
TEST(ClusterView, NamesTheLiveOneOfTwoNodesAtOneAddress) {
  const std::string dead = "id-dead 127.0.0.1:7@1 master,fail - 0 0 1 disconnected 0-5\n";
  const std::string live = "id-live 127.0.0.1:7@1 master - 0 0 2 connected 6-9\n";
  for (const std::string& text : {dead + live, live + dead})
    EXPECT_EQ(parse_cluster_nodes(text, "127.0.0.1:7")->ids.at("127.0.0.1:7"), "id-live");
}

// The address of a replica that has died is a seed, so the process that took it is asked for the
// slots. Its cluster's epochs are unrelated to ours.
TEST_F(RouterTest, IgnoresTheSlotMapOfAnotherCluster) {
  View ours = view_of("a:1", 3, {{"a:1", 0, 16383, 3}});
  ours.ids = {{"a:1", "id-a"}};
  merge(ours);
  for (const std::uint64_t epoch : {1u, 3u, 12u}) {
    View foreign = view_of("b:1", epoch, {{"b:1", 0, 16383, epoch}});
    foreign.ids = {{"b:1", "id-b"}};
    merge(foreign);
    router->begin(1, slot_of(key), ReadPreference::kPrimary);
    EXPECT_EQ(offered(key, 1), Names{"a:1"}) << epoch;
    EXPECT_EQ(router->node_id("b:1"), "");
  }
  View without_ids = view_of("b:1", 12, {{"b:1", 0, 16383, 12}});
  merge(without_ids);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
  EXPECT_EQ(router->counters().foreign_views, 4u);
}

// Nodes of our cluster are replaced by new ones at their addresses, one after the other. A view is
// ours as long as it names a node that is known.
TEST_F(RouterTest, FollowsNodesThatAreReplacedAtTheirAddresses) {
  View before = view_of("a:1", 3, {{"a:1", 0, 8191, 2}, {"b:1", 8192, 16383, 3}});
  before.ids = {{"a:1", "id-a"}, {"b:1", "id-b"}};
  merge(before);
  View first = view_of("a:1", 4, {{"a:1", 0, 8191, 4}, {"b:1", 8192, 16383, 3}});
  first.ids = {{"a:1", "id-c"}, {"b:1", "id-b"}};
  merge(first);
  EXPECT_EQ(router->node_id("a:1"), "id-c");
  View second = view_of("b:1", 5, {{"a:1", 0, 8191, 4}, {"b:1", 8192, 16383, 5}});
  second.ids = {{"a:1", "id-c"}, {"b:1", "id-d"}};
  merge(second);
  EXPECT_EQ(router->node_id("b:1"), "id-d");
  EXPECT_EQ(router->counters().foreign_views, 0u);
}

TEST_F(RouterTest, OffersAnyNodeIfTheOwnerIsUnknown) {
  insert_new_nodes();
  router->begin(1, 12182, ReadPreference::kPrimary);
  EXPECT_EQ(offered(key, 1), Names{"a:1"});
}

// Many MOVED replies must lead to one refresh at a time and to a bounded number per second.
TEST_F(RouterTest, LimitsRefreshesUnderManyMovedReplies) {
  merge(view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
  const auto before = router->counters().refreshes;
  for (int ms = 0; ms < 1000; ++ms) {
    now += milliseconds(1);
    for (RequestId id = 1; id <= 20; ++id) {
      router->begin(id, 12182, ReadPreference::kPrimary);
      error(id, ms % 2 ? "a:1" : "b:1", ms % 2 ? "MOVED 12182 b:1" : "MOVED 12182 a:1");
      router->end(id);
    }
    const auto at = router->refresh_at();
    if (at && now >= *at) {
      EXPECT_FALSE(router->begin_refresh(now).empty());
      EXPECT_FALSE(router->refresh_at()) << "a refresh is in progress";
    } else if (!at && ms % 7 == 0) {
      router->end_refresh(now, view_of("a:1", 2, {{"a:1", 0, 16383, 1}, {"b:1", 1, 0, 2}}));
    }
  }
  EXPECT_LE(router->counters().refreshes - before, 10u);
  EXPECT_GE(router->counters().refreshes - before, 8u);
}

TEST_F(RouterTest, BacksOffAfterFailedRefreshesAndQueriesEveryNode) {
  View view = view_of("a:1", 2, {{"a:1", 0, 16383, 1}});
  view.shards[0].replicas = {"r:1", "s:1"};
  merge(view);
  std::set<std::string> queried;
  Time last = now;
  Duration gap{0};
  for (int i = 0; i < 12; ++i) {
    router->on_attempt_failed("a:1");
    const auto at = router->refresh_at();
    ASSERT_TRUE(at);
    EXPECT_GE(*at - last, gap);
    EXPECT_LE(*at - last, std::chrono::seconds(5));
    gap = *at - last;
    last = now = *at;
    queried.insert(router->begin_refresh(now));
    router->end_refresh(now, i % 2 ? std::optional<View>() : View{"r:1", 9, {}});
  }
  EXPECT_EQ(queried.size(), 3u);
  EXPECT_EQ(router->table().assigned(), kSlots)
      << "failed refreshes must not change the slot table";
}

// ---- a cluster whose nodes learn of slot moves late

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
  // The new owner takes a newer epoch and knows of the move first. The old owner learns of it at
  // once in three of four cases.
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
    // Reports each claim as a shard of its own, so that claims of one node may differ in epoch.
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

TEST_F(RouterTest, RoutesWhileSlotsMoveAmongNodesThatLearnLate) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const int n = 2 + static_cast<int>(random() % 6), slots = 1 + static_cast<int>(random() % 20);
    Model model(n, slots, random);
    router = std::make_unique<Router>(RouterSettings{.seeds = {Model::name(0)}});
    names.clear();
    std::map<Slot, std::uint64_t> highest;
    merge(model.view(0));
    RequestId id = 0;
    int served = 0;
    // Returns the number of nodes that were tried; 0 if none served the request.
    const auto send_request = [&](Slot slot) {
      router->begin(++id, slot, ReadPreference::kPrimary);
      int node = -1, hops = 0;
      while (true) {
        std::string target;
        router->visit_candidates(slot, id, [&](Placement::Host h) {
          for (const auto& [name, host] : names)
            if (host == h) target = name;
          return true;
        });
        if (target.empty()) break;
        node = std::stoi(target.substr(1));
        ++hops;
        EXPECT_LE(hops, 6) << "at most five redirections";
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
      served += send_request(slot) > 0;
      if (const auto at = router->refresh_at(); at && now >= *at) {
        const auto node = router->begin_refresh(now);
        router->end_refresh(now, model.view(std::stoi(node.substr(1))));
        insert_new_nodes();
      }
    }
    EXPECT_GT(served, 300);
    for (int i = 0; i < 400; ++i) model.gossip();
    merge(model.view(0));
    for (const auto& [slot, claim] : model.truth) {
      EXPECT_EQ(send_request(slot), 1)
          << "slot " << slot << " is misrouted although all nodes know its owner";
    }
  }
}

// Scans all nodes while slots move. Every key must be returned, as the table knows of each move.
class ScanPlanTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(ScanPlanTest, ReturnsEveryKeyWhileSlotsMove) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
  const int nodes = 2 + below(6);
  std::vector<int> owner(kSlots);
  for (auto& o : owner) o = below(static_cast<std::uint64_t>(nodes));
  const auto address = [](int n) { return "127.0.0.1:" + std::to_string(7000 + n); };
  SlotTable table(64);
  std::uint64_t epoch = 1;
  const auto publish_view = [&] {
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
  publish_view();
  // Each slot has one key. A page contains the keys of the node's next slots.
  std::vector<bool> returned(kSlots);
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
        returned[s] = true;
        ++keys;
      }
    // Stops moving slots after 200 pages, as the scan would not end otherwise.
    if (pages < 200 && below(3) == 0) {
      for (int i = below(20); i >= 0; --i)
        owner[random() % kSlots] = below(static_cast<std::uint64_t>(nodes));
      publish_view();
    }
    plan.on_page(table, s == kSlots ? 0 : s);
  }
  EXPECT_FALSE(plan.aborted());
  EXPECT_EQ(std::count(returned.begin(), returned.end(), false), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ScanPlanTest, ::testing::Range(1u, 13u));

}  // namespace
}  // namespace balancer::cluster

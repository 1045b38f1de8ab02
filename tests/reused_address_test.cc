// A new process at the address of one that has gone. It must not be taken for the earlier process:
// neither get its work nor count as one that knows its requests.
#include <algorithm>

#include "dispatch_harness.h"
#include "resp_harness.h"
#include "scripted_node.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// Keyed writes go to cache hosts, and only the hosts of one cell discard their repeats.
class ReusedAddressTest : public DispatchTest {
 protected:
  void SetUp() override {
    site.policy.cache_aside = false;
    for (RequestClass& c : site.policy.classes) {
      c.scope = DeduplicationScope::kCell;
      c.deduplication_window = std::chrono::seconds(10);
    }
    begin();
  }
  EndpointListEntry host(const std::string& id, int cell, std::int64_t born_ms = 0) {
    EndpointListEntry entry = listed(id, cache.server.local());
    entry.cell = cell;
    if (born_ms > 0) entry.started_at = UnixTime(milliseconds(born_ms));
    return entry;
  }
  void change(std::vector<EndpointListEntry> hosts) {
    pool->on_list({++seq, false, std::move(hosts)});
  }
  std::string keyed_write(const std::string& id) { return put("k", id, 2, "c=save,k=key-" + id); }
  int arrivals(const std::string& id) const {
    return static_cast<int>(std::count(cache.ids.begin(), cache.ids.end(), id));
  }

  ScriptedCache cache{io};
};

// Before discovery says that the earlier host is gone, it lists a new one at the same address.
TEST_F(ReusedAddressTest, DoesNotRepeatAWriteAtANewHostOfTheSameAddress) {
  apply_list({host("old", 1)});
  auto c = client();
  c->send(keyed_write("1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  change({host("new", 2)});
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return !c->in.empty() || arrivals("1") > 1; }));
  EXPECT_EQ(arrivals("1"), 1);
}

TEST_F(ReusedAddressTest, DoesNotBeginAtANewHostWhatWasDecidedForTheOldOne) {
  apply_list({host("old", 1)});
  auto first = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  cache.answer("1", "v");
  ASSERT_TRUE(wait([&] { return !first->in.empty(); }));
  Peer* const old_connection = cache.from.at("1").get();
  change({host("new", 2)});
  // The key's requests may be refused until they go to the new host.
  for (int i = 2; i < 10 && cache.ids.size() == 1; ++i) {
    auto later = client();
    const std::string id = std::to_string(i);
    later->send(get("k", id));
    ASSERT_TRUE(wait([&] { return !later->in.empty() || cache.saw(id); }));
  }
  ASSERT_EQ(cache.ids.size(), 2u);
  EXPECT_NE(cache.from.at(cache.ids.back()).get(), old_connection);
}

// The process that has taken the address under the same id started after the write was sent, so
// that it does not know of it.
TEST_F(ReusedAddressTest, DoesNotRepeatAWriteAtARestartedHost) {
  apply_list({host("h", 1)});
  auto c = client();
  c->send(keyed_write("1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  change({host("h", 1, now.count() + 1)});
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return !c->in.empty() || arrivals("1") > 1; }));
  EXPECT_EQ(arrivals("1"), 1);
}

// ---- RESP

class ReusedNodeAddressTest : public RespNodeTest {
 protected:
  void start_with(const ScriptedNode& node) { start("seeds = [\"" + node.server.dial() + "\"]\n"); }
  // `pool`: further lines of the pool's table, with the seeds.
  void start(const std::string& pool) {
    OperatorSettings added =
        parse_operator("[[pool]]\nname = \"history\"\n" + pool +
                           "refresh_interval_ms = 20\n[[listener]]\nname = \"resp\"\naddress = "
                           "\"127.0.0.1:0\"\npool = \"history\"\n",
                       "test.toml");
    limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
    balancer = std::make_unique<Balancer>(io, config, *limits, std::move(added));
    ASSERT_TRUE(wait([&] { return router().table().assigned() == cluster::kSlots; }));
  }
};

// The node at the address has another id than the one that the slot map names: it may belong to
// another cluster, or hold none of the data.
TEST_F(ReusedNodeAddressTest, SendsNothingToANodeWithAnotherId) {
  ScriptedNode node(io);
  node.on_command = [](Peer& p, const ScriptedNode::Arguments&) { p.send("+OK\r\n"); };
  start_with(node);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "1"}), "+OK\r\n");
  // Another process takes the address, and no refresh of the slot map has seen it yet.
  node.id = std::string(40, '2');
  node.answers_topology = false;
  for (const auto& p : std::exchange(node.server.peers, {})) p->close();
  const std::string reply = c->send_and_receive({"SET", "k", "2"});
  EXPECT_TRUE(reply.starts_with("-TRYAGAIN")) << reply;
  EXPECT_EQ(node.commands.size(), 1u);
}

// A server of no cluster answers the question for its id with an error, and runs all commands.
class StoreAtNodeAddressTest : public ReusedNodeAddressTest,
                               public ::testing::WithParamInterface<const char*> {};

TEST_P(StoreAtNodeAddressTest, GetsNoCommands) {
  ScriptedNode node(io);
  node.on_command = [](Peer& p, const ScriptedNode::Arguments&) { p.send("+OK\r\n"); };
  start_with(node);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "1"}), "+OK\r\n");
  node.cluster_error = GetParam();
  for (const auto& p : std::exchange(node.server.peers, {})) p->close();
  for (int i = 0; i < 5; ++i) {
    const std::string reply = c->send_and_receive({"SET", "k", "2"});
    EXPECT_TRUE(reply.starts_with("-TRYAGAIN")) << reply;
  }
  EXPECT_EQ(node.commands.size(), 1u);
  // The node is back.
  node.cluster_error.clear();
  EXPECT_TRUE(wait([&] { return c->send_and_receive({"SET", "k", "3"}) == "+OK\r\n"; }));
}

INSTANTIATE_TEST_SUITE_P(Errors, StoreAtNodeAddressTest,
                         ::testing::Values("ERR This instance has cluster support disabled",
                                           "ERR unknown command 'CLUSTER'",
                                           "NOPERM this user has no permissions to run it",
                                           "NOAUTH Authentication required.",
                                           "LOADING the dataset is being loaded"));

// Servers that do not know CLUSTER MYID, or do not allow it, are known by their slot map.
class NodeWithoutMyIdTest : public ReusedNodeAddressTest,
                            public ::testing::WithParamInterface<const char*> {};

TEST_P(NodeWithoutMyIdTest, IsKnownByItsSlotMap) {
  ScriptedNode node(io);
  node.supports_my_id = false;
  node.topology_subcommands = {GetParam()};
  node.on_command = [](Peer& p, const ScriptedNode::Arguments&) { p.send("+OK\r\n"); };
  start_with(node);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "1"}), "+OK\r\n");
  node.id = std::string(40, '2');
  for (const auto& p : std::exchange(node.server.peers, {})) p->close();
  const std::string reply = c->send_and_receive({"SET", "k", "2"});
  EXPECT_TRUE(reply.starts_with("-TRYAGAIN")) << reply;
  EXPECT_EQ(node.commands.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(Subcommands, NodeWithoutMyIdTest, ::testing::Values("NODES", "SLOTS"));

// The process at the address is a node of another cluster, and is asked for the slots there.
TEST_F(ReusedNodeAddressTest, IgnoresTheSlotMapOfAnotherCluster) {
  ScriptedNode ours(io), gone(io);
  for (ScriptedNode* node : {&ours, &gone})
    node->on_command = [](Peer& p, const ScriptedNode::Arguments&) { p.send("+OK\r\n"); };
  gone.slot_owner = ours.server.dial();  // a replica
  start("refresh_every_ms = 100\nseeds = [\"" + ours.server.dial() + "\", \"" + gone.server.dial() +
        "\"]\n");
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "1"}), "+OK\r\n");
  // Two more refreshes of each seed.
  gone.id = std::string(40, '9');
  gone.slot_owner = gone.server.dial();
  const auto refreshes = router().counters().refreshes;
  ASSERT_TRUE(wait([&] { return router().counters().refreshes >= refreshes + 4; }));
  EXPECT_GT(router().counters().foreign_views, 0u);
  EXPECT_EQ(limits->events.count(Event::kForeignSlotMap), router().counters().foreign_views);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(c->send_and_receive({"SET", "k", "2"}), "+OK\r\n");
  EXPECT_EQ(ours.commands.size(), 11u);
  EXPECT_TRUE(gone.commands.empty());
}

}  // namespace
}  // namespace balancer::node

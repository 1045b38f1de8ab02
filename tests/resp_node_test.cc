// RESP clients, a real balancer and an emulated cluster.
#include <algorithm>
#include <random>

#include "cluster/slots.h"
#include "resp_harness.h"

namespace balancer::node {
namespace {

using cluster::slot_of;

TEST_F(RespNodeTest, AnswersLocalCommandsWithoutTheCluster) {
  start_cluster(3, 0, "", "announce = \"127.0.0.1:7001\"\npeers = [\"127.0.0.1:7002\"]\n");
  auto c = client();
  const std::vector<std::pair<Words, std::string>> script = {
      {{"PING"}, "+PONG\r\n"},
      {{"ping", "hi"}, "$2\r\nhi\r\n"},
      {{"ECHO", "a\r\nb"}, "$4\r\na\r\nb\r\n"},
      {{"SELECT", "0"}, "+OK\r\n"},
      {{"SELECT", "1"}, "-ERR SELECT is not allowed in cluster mode\r\n"},
      {{"CLIENT", "SETNAME", "app"}, "+OK\r\n"},
      {{"CLIENT", "GETNAME"}, "$3\r\napp\r\n"},
      {{"CLIENT", "SETNAME", "a b"},
       "-ERR Client names cannot contain spaces, newlines or special characters.\r\n"},
      {{"CLIENT", "SETINFO", "LIB-NAME", "x"}, "+OK\r\n"},
      {{"CLIENT", "NO-EVICT", "ON"}, "+OK\r\n"},
      {{"CLIENT", "NO-TOUCH", "maybe"}, "-ERR syntax error\r\n"},
      {{"READONLY"}, "+OK\r\n"},
      {{"READWRITE"}, "+OK\r\n"},
      {{"ASKING"}, "+OK\r\n"},
      {{"CLUSTER", "KEYSLOT", "foo"}, ":12182\r\n"},
      {{"COMMAND", "DOCS"}, "*0\r\n"},
      {{"COMMAND", "INFO", "get", "nosuch"},
       "*2\r\n*6\r\n$3\r\nget\r\n:2\r\n*1\r\n+readonly\r\n:1\r\n:1\r\n:1\r\n*-1\r\n"},
      {{"GET"}, "-ERR wrong number of arguments for 'get' command\r\n"},
      {{"nosuch"}, "-ERR unknown command 'nosuch'\r\n"},
      {{"BLPOP", "k", "0"}, "-ERR blocking commands are not carried here\r\n"},
      {{"XREAD", "BLOCK", "0", "STREAMS", "k", "0"}, "-ERR BLOCK is not carried here\r\n"},
      {{"SUBSCRIBE", "k"}, "-ERR subscribing and publishing are not carried here\r\n"},
      {{"FLUSHALL"}, "-ERR 'flushall' is not carried here\r\n"},
      {{"WATCH", "k"}, "-ERR 'watch' is not carried here\r\n"},
      {{"HELLO", "4"}, "-NOPROTO unsupported protocol version\r\n"},
      {{"AUTH", "who", "x"}, "-WRONGPASS invalid username-password pair or user is disabled.\r\n"},
      {{"RESET"}, "+RESET\r\n"},
      {{"CLIENT", "GETNAME"}, "$-1\r\n"},
  };
  for (const auto& [words, reply] : script)
    EXPECT_EQ(c->send_and_receive(words), reply) << words[0];
  const std::string slots_reply = c->send_and_receive({"CLUSTER", "SLOTS"});
  const auto slots = resp::parse_reply(slots_reply, resp::InputLimits{});
  ASSERT_TRUE(slots);
  ASSERT_EQ(slots->items.size(), 2u) << "this balancer and its peer";
  EXPECT_EQ(slots->items[0].items[0].text, "0");
  EXPECT_EQ(slots->items[0].items[1].text, "8191");
  EXPECT_EQ(slots->items[1].items[2].items[1].text, "7002");
  const std::string shards_reply = c->send_and_receive({"CLUSTER", "SHARDS"});
  const auto shards = resp::parse_reply(shards_reply, resp::InputLimits{});
  ASSERT_TRUE(shards);
  EXPECT_EQ(shards->items.size(), 2u);
  const std::string nodes_reply = c->send_and_receive({"CLUSTER", "NODES"});
  const auto nodes = resp::parse_reply(nodes_reply, resp::InputLimits{});
  ASSERT_TRUE(nodes);
  const auto view = cluster::parse_cluster_nodes(nodes->text, "127.0.0.1:1");
  ASSERT_TRUE(view);
  EXPECT_EQ(view->shards.size(), 2u);
  const std::string hello_reply = c->send_and_receive({"HELLO", "3", "SETNAME", "n"});
  const auto hello = resp::parse_reply(hello_reply, resp::InputLimits{});
  ASSERT_TRUE(hello);
  EXPECT_EQ(hello->type, resp::Type::kMap);
  EXPECT_EQ(c->send_and_receive({"CLIENT", "GETNAME"}), "$1\r\nn\r\n");
  EXPECT_EQ(c->send_and_receive({"QUIT"}), "+OK\r\n");
  EXPECT_TRUE(wait([&] { return c->closed(); }));
  EXPECT_EQ(cluster->commands(), 0u);
}

// The same commands, sent to the balancer and to the node that owns the keys, must return the same
// replies.
TEST_F(RespNodeTest, RepliesAsANodeDoes) {
  start_cluster(1);
  std::vector<Words> script = {
      {"SET", "k", "v"},
      {"GET", "k"},
      {"GET", "none"},
      {"SET", "k", "w", "NX"},
      {"SET", "k", "w", "GET"},
      {"SET", "t", "1", "EX", "100"},
      {"TTL", "t"},
      {"SET", "t", "1", "EX", "0"},
      {"SET", "t", "1", "EX"},
      {"INCR", "n"},
      {"INCRBY", "n", "41"},
      {"INCR", "k"},
      {"DECRBY", "n", "x"},
      {"APPEND", "k", "\r\n\x01"},
      {"STRLEN", "k"},
      {"MSET", "a", "1", "b", "2", "c", "3"},
      {"MGET", "a", "none", "c", "b", "a"},
      {"DEL", "a", "b", "none"},
      {"EXISTS", "c", "c", "a"},
      {"TOUCH", "c", "none"},
      {"UNLINK", "c"},
      {"HSET", "h", "f", "1", "g", "2"},
      {"HGETALL", "h"},
      {"HGET", "h", "f"},
      {"HINCRBY", "h", "f", "5"},
      {"HDEL", "h", "f", "g"},
      {"HGETALL", "h"},
      {"RPUSH", "l", "1", "2", "3"},
      {"LPUSH", "l", "0"},
      {"LRANGE", "l", "0", "-1"},
      {"LPOP", "l"},
      {"LLEN", "l"},
      {"GET", "l"},
      {"HGET", "l", "f"},
      {"LINDEX", "l", "9"},
      {"SADD", "s", "x", "y", "x"},
      {"SMEMBERS", "s"},
      {"SISMEMBER", "s", "x"},
      {"TYPE", "s"},
      {"MULTI"},
      {"INCR", "n"},
      {"GET", "n"},
      {"EXEC"},
      {"MULTI"},
      {"SET", "n", "1"},
      {"DISCARD"},
      {"EXEC"},
      {"MULTI"},
      {"GET"},
      {"EXEC"},
      {"MULTI"},
      {"MULTI"},
      {"INCR", "k"},
      {"GET", "n"},
      {"EXEC"},
      {"PERSIST", "t"},
      {"PERSIST", "t"},
      {"TTL", "none"},
      {"GETDEL", "n"},
      {"GETDEL", "n"},
      {"SETNX", "n", "1"},
      {"nosuch", "x"},
      {"GET", "a", "b"},
  };
  // Maps all keys to one slot, as a node rejects commands with keys of several slots.
  const Words keys = {"k", "t", "n", "a", "b", "c", "h", "l", "s", "none"};
  Words clean = {"DEL"};
  for (const auto& k : keys) clean.push_back("{x}" + k);
  for (auto& words : script)
    for (auto& w : words)
      if (std::find(keys.begin(), keys.end(), w) != keys.end()) w = "{x}" + w;
  for (const int version : {2, 3}) {
    SCOPED_TRACE(version);
    std::vector<std::vector<std::string>> replies;
    for (const bool through : {false, true}) {
      auto c = through ? client() : std::make_unique<RespClient>(io, cluster->address(0));
      c->send_and_receive({"HELLO", std::to_string(version)});
      replies.emplace_back();
      for (const auto& words : script) replies.back().push_back(c->send_and_receive(words));
      // Repeats the script as one pipeline.
      std::string all;
      for (const auto& words : script) all += wire(words);
      c->send(all);
      for (std::size_t i = 0; i < script.size(); ++i) replies.back().push_back(c->next());
      c->send_and_receive(clean);
    }
    for (std::size_t i = 0; i < replies[0].size(); ++i)
      EXPECT_EQ(replies[1][i], replies[0][i]) << script[i % script.size()][0] << " at " << i;
  }
}

TEST_F(RespNodeTest, KeepsTheOrderOfLongPipelines) {
  start_cluster(3);
  auto c = client();
  std::string all;
  std::vector<std::string> expected;
  for (int i = 0; i < 3000; ++i) {
    const std::string key = "k" + std::to_string(i % 7), value = std::to_string(i);
    all += wire({"SET", key, value}) + wire({"GET", key}) + wire({"PING"});
    expected.insert(
        expected.end(),
        {"+OK\r\n", "$" + std::to_string(value.size()) + "\r\n" + value + "\r\n", "+PONG\r\n"});
  }
  c->send(all);
  for (std::size_t i = 0; i < expected.size(); ++i) ASSERT_EQ(c->next(), expected[i]) << i;
}

TEST_F(RespNodeTest, SplitsCommandsBySlotAndJoinsTheReplies) {
  start_cluster(3);
  auto c = client();
  Words set = {"MSET"}, get = {"MGET"}, count = {"EXISTS"}, del = {"DEL"};
  std::string expected = "*41\r\n";
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    set.insert(set.end(), {key, "v" + std::to_string(i)});
    for (auto* words : {&get, &count, &del}) words->push_back(key);
    expected += "$" + std::to_string(i < 10 ? 2 : 3) + "\r\nv" + std::to_string(i) + "\r\n";
  }
  get.push_back("none");
  EXPECT_EQ(c->send_and_receive(set), "+OK\r\n");
  EXPECT_EQ(c->send_and_receive(get), expected + "$-1\r\n");
  EXPECT_EQ(c->send_and_receive(count), ":40\r\n");
  EXPECT_EQ(c->send_and_receive({"RENAME", "k1", "k2"}),
            "-CROSSSLOT Keys in request don't hash to the same slot\r\n");
  EXPECT_EQ(c->send_and_receive({"MSET", "k1", "x", "k2"}), "-ERR syntax error\r\n");
  // With one node down, reads are rejected as a whole and writes report how many parts have run.
  cluster->kill(2);
  EXPECT_TRUE(c->send_and_receive(get).starts_with("-TRYAGAIN "));
  const std::string part = c->send_and_receive(del);
  EXPECT_TRUE(part.starts_with("-ERR ") && part.find("parts have run") != std::string::npos)
      << part;
  cluster->restart(2);
  EXPECT_TRUE(wait([&] { return c->send_and_receive(get).starts_with("*41"); }));
}

// One client must not fill the pool, neither with one command nor with many.
TEST_F(RespNodeTest, BoundsTheRequestsInFlightOfAClient) {
  start_cluster(3);
  auto c = client();
  Words get = {"MGET"};
  for (int i = 0; i < 1100; ++i) get.push_back("k" + std::to_string(i));
  std::string all;
  const Words part(get.begin(), get.begin() + 700);
  for (int i = 0; i < 5; ++i) all += wire(part);
  c->send(all);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(c->next().starts_with("*699\r\n")) << i;
  EXPECT_EQ(c->send_and_receive(get).substr(0, 4), "-ERR");
}

TEST_F(RespNodeTest, SendsTransactionsAsOneUnit) {
  start_cluster(3, 0, "", "most_queued = 3\n");
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"MULTI"}), "+OK\r\n");
  EXPECT_EQ(c->send_and_receive({"SET", "{t}a", "1"}), "+QUEUED\r\n");
  EXPECT_EQ(c->send_and_receive({"INCR", "{t}a"}), "+QUEUED\r\n");
  EXPECT_TRUE(cluster->runs().empty());
  EXPECT_EQ(c->send_and_receive({"EXEC"}), "*2\r\n+OK\r\n:2\r\n");
  EXPECT_EQ(c->send_and_receive({"MULTI"}), "+OK\r\n");
  EXPECT_EQ(c->send_and_receive({"SET", "a", "1"}), "+QUEUED\r\n");
  EXPECT_EQ(c->send_and_receive({"SET", "b", "1"}), "+QUEUED\r\n");
  EXPECT_EQ(c->send_and_receive({"EXEC"}),
            "-CROSSSLOT Keys in request don't hash to the same slot\r\n");
  EXPECT_EQ(c->send_and_receive({"MULTI"}), "+OK\r\n");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(c->send_and_receive({"INCR", "{t}a"}), "+QUEUED\r\n");
  EXPECT_TRUE(c->send_and_receive({"INCR", "{t}a"}).starts_with("-ERR too many"));
  EXPECT_TRUE(c->send_and_receive({"EXEC"}).starts_with("-EXECABORT"));
  EXPECT_EQ(c->send_and_receive({"GET", "{t}a"}), "$1\r\n2\r\n");
  // The slot has moved without the balancer's knowledge: the transaction runs once, on the new
  // owner.
  const auto slot = slot_of("{t}");
  const int to = (cluster->owner(slot) + 1) % 3;
  cluster->begin_move(slot, to);
  cluster->end_move(slot);
  const auto before = cluster->runs().size();
  c->send(wire({"MULTI"}) + wire({"INCR", "{t}a"}) + wire({"INCR", "{t}a"}) + wire({"EXEC"}));
  for (int i = 0; i < 3; ++i) c->next();
  EXPECT_EQ(c->next(), "*2\r\n:3\r\n:4\r\n");
  EXPECT_EQ(cluster->runs().size(), before + 2);
}

// The balancer follows ASK and MOVED, updates its slot table on MOVED, and requests the keys of an
// MGET one by one if only some of them have moved.
TEST_F(RespNodeTest, ServesASlotThatIsBeingMigrated) {
  start_cluster(2);
  auto c = client();
  Words get = {"MGET"};
  for (int i = 0; i < 6; ++i) {
    get.push_back("{s}" + std::to_string(i));
    EXPECT_EQ(c->send_and_receive({"SET", get.back(), "v"}), "+OK\r\n");
  }
  const auto slot = slot_of("{s}");
  const int from = cluster->owner(slot), to = 1 - from;
  cluster->begin_move(slot, to);
  ASSERT_TRUE(cluster->move_key(slot));
  ASSERT_TRUE(cluster->move_key(slot));
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(c->send_and_receive({"GET", get[1 + i]}), "$1\r\nv\r\n") << i;
  EXPECT_EQ(c->send_and_receive(get),
            "*6\r\n$1\r\nv\r\n$1\r\nv\r\n$1\r\nv\r\n$1\r\nv\r\n$1\r\nv\r\n$1\r\nv\r\n")
      << "the keys lie on two nodes; each must be requested from its node";
  EXPECT_EQ(c->send_and_receive({"SET", "{s}new", "1"}), "+OK\r\n");
  EXPECT_EQ(cluster->runs().back().node, to)
      << "a key that the old owner does not have must go to the new owner";
  while (cluster->move_key(slot)) {
  }
  EXPECT_TRUE(c->send_and_receive(get).starts_with("*6\r\n")) << "by ASK";
  cluster->end_move(slot);
  EXPECT_TRUE(c->send_and_receive(get).starts_with("*6\r\n")) << "by MOVED";
  const auto redirections = cluster->redirections();
  EXPECT_TRUE(c->send_and_receive(get).starts_with("*6\r\n"));
  EXPECT_EQ(cluster->redirections(), redirections) << "MOVED must have updated the slot table";
}

// 100 keys: all keys of one slot have moved and lead to ASK, half of another slot's keys have moved
// and lead to TRYAGAIN. The values must be joined in the order of the request.
TEST_F(RespNodeTest, JoinsAnMgetOverSlotsThatAreBeingMigrated) {
  start_cluster(3);
  auto c = client();
  Words get = {"MGET"};
  std::string expected = "*100\r\n";
  for (int i = 0; i < 100; ++i) {
    const char* tag = i % 3 == 0 ? "{asked}" : i % 3 == 1 ? "{half}" : "plain";
    get.push_back(tag + std::to_string(i));
    const std::string value = "v" + std::to_string(i);
    EXPECT_EQ(c->send_and_receive({"SET", get.back(), value}), "+OK\r\n");
    resp::append_bulk(expected, value);
  }
  for (const char* tag : {"{asked}", "{half}"}) {
    const auto slot = slot_of(tag);
    cluster->begin_move(slot, (cluster->owner(slot) + 1) % 3);
    for (int i = 0; i < 15 || std::string_view(tag) == "{asked}"; ++i)
      if (!cluster->move_key(slot)) break;
  }
  EXPECT_EQ(c->send_and_receive(get), expected);
  // The reply must not show the effect of a later write of the same client.
  c->send(wire(get) + wire({"SET", "{half}1", "later"}) + wire({"GET", "{half}1"}));
  const std::string first = c->next();
  EXPECT_TRUE(first == expected || first.starts_with("-TRYAGAIN ")) << first.substr(0, 100);
  EXPECT_EQ(c->next(), "+OK\r\n");
  EXPECT_EQ(c->next(), "$5\r\nlater\r\n");
}

// SCAN over all nodes while a slot moves twice must return every key that stayed on its node, and
// the keys of the slot, whose moves the balancer knows. DBSIZE must return the sum over the nodes.
TEST_F(RespNodeTest, ScanReturnsEveryKeyWhileASlotMovesTwice) {
  start_cluster(3);
  auto c = client();
  std::vector<std::string> all;
  std::string out;
  for (int i = 0; i < 300; ++i) {
    all.push_back(i < 20 ? "{moves}" + std::to_string(i) : "key" + std::to_string(i));
    out += wire({"SET", all.back(), "v"});
  }
  c->send(out);
  ASSERT_TRUE(wait([&] { return c->replies.size() == 300; }));
  c->replies.clear();
  EXPECT_EQ(c->send_and_receive({"DBSIZE"}), ":300\r\n");
  const auto slot = slot_of("{moves}");
  std::vector<std::string> returned;
  std::string cursor = "0";
  int pages = 0;
  do {
    if (pages == 3 || pages == 12) {
      const int to = (cluster->owner(slot) + 1) % 3;
      cluster->begin_move(slot, to);
      cluster->end_move(slot);
      // Makes the balancer learn of the move.
      EXPECT_EQ(c->send_and_receive({"GET", "{moves}1"}), "$1\r\nv\r\n");
    }
    // Any connection may continue with a cursor, and a page that was lost may be requested again.
    auto other = client();
    const std::string lost =
        pages % 5 == 4 ? other->send_and_receive({"SCAN", cursor, "COUNT", "10"}) : "";
    const std::string reply = other->send_and_receive({"SCAN", cursor, "COUNT", "10"});
    if (!lost.empty()) {
      EXPECT_EQ(lost, reply);
    }
    const auto page = resp::parse_reply(reply, resp::InputLimits{});
    ASSERT_TRUE(page && page->items.size() == 2) << reply;
    cursor = page->items[0].text;
    for (const auto& key : page->items[1].items) returned.emplace_back(key.text);
    ASSERT_LT(++pages, 200);
  } while (cursor != "0");
  std::sort(returned.begin(), returned.end());
  for (const auto& key : all)
    EXPECT_TRUE(std::binary_search(returned.begin(), returned.end(), key)) << key;
  EXPECT_EQ(c->send_and_receive({"SCAN", "77"}), "-ERR invalid cursor\r\n");
  EXPECT_EQ(c->send_and_receive({"SCAN", "x"}), "-ERR invalid cursor\r\n");
}

// The keys of a transaction have moved but their slot has not. ASKING does not apply to the
// commands of a MULTI, so the transaction is rejected and runs on no node until the slot has moved.
TEST_F(RespNodeTest, RejectsATransactionThatNeedsAsking) {
  start_cluster(2);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "{s}1", "v"}), "+OK\r\n");
  const auto slot = slot_of("{s}");
  cluster->begin_move(slot, 1 - cluster->owner(slot));
  while (cluster->move_key(slot)) {
  }
  const auto runs = cluster->runs().size();
  const auto transaction = wire({"MULTI"}) + wire({"SET", "{s}1", "w"}) + wire({"EXEC"});
  c->send(transaction);
  EXPECT_EQ(c->next(), "+OK\r\n");
  EXPECT_EQ(c->next(), "+QUEUED\r\n");
  EXPECT_TRUE(c->next().starts_with("-TRYAGAIN "));
  EXPECT_EQ(cluster->runs().size(), runs);
  cluster->end_move(slot);
  c->send(transaction);
  c->next();
  c->next();
  EXPECT_EQ(c->next(), "*1\r\n+OK\r\n");
  EXPECT_EQ(cluster->runs().size(), runs + 1);
}

// The slot moves between the commands of a transaction that the client is still sending.
TEST_F(RespNodeTest, RunsATransactionOnTheNewOwnerIfItsSlotMovesWhileQueueing) {
  start_cluster(2);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"MULTI"}), "+OK\r\n");
  EXPECT_EQ(c->send_and_receive({"RPUSH", "{s}b", "booking"}), "+QUEUED\r\n");
  const auto slot = slot_of("{s}");
  const int to = 1 - cluster->owner(slot);
  cluster->begin_move(slot, to);
  EXPECT_EQ(c->send_and_receive({"GET", "{s}k"}), "+QUEUED\r\n");
  cluster->end_move(slot);
  EXPECT_EQ(c->send_and_receive({"EXEC"}), "*2\r\n:1\r\n$-1\r\n");
  EXPECT_EQ(count_runs("booking"), 1);
  EXPECT_EQ(cluster->runs().back().node, to);
}

TEST_F(RespNodeTest, RejectsAKeyedWriteWithoutAKeyInATransaction) {
  start_cluster(1, 0,
                "[[pool.class]]\nname = \"save\"\ncommands = [\"SET\"]\neffect = \"keyed\"\n"
                "key_argument = 4\nwindow_ms = 10000\n");
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"MULTI"}), "+OK\r\n");
  EXPECT_EQ(c->send_and_receive({"SET", "k", "v"}), "-ERR keyed write without a key\r\n");
  EXPECT_TRUE(c->send_and_receive({"EXEC"}).starts_with("-EXECABORT "));
  EXPECT_TRUE(cluster->runs().empty());
}

// A non-idempotent write runs at most once, whichever fault occurs on the connection after a
// redirection.
class RespUnsafeWriteTest
    : public RespNodeTest,
      public ::testing::WithParamInterface<std::tuple<testbed::RespCluster::Fault, bool>> {};

TEST_P(RespUnsafeWriteTest, IsNotRetriedIfAFaultFollowsARedirection) {
  const auto [fault, ask] = GetParam();
  start_cluster(2);
  auto c = client();
  const auto slot = slot_of("b");
  const int to = 1 - cluster->owner(slot);
  cluster->begin_move(slot, to);
  if (!ask) cluster->end_move(slot);
  int attempts = 0;
  cluster->fault = [&, f = fault](int node, const resp::Command&) {
    ++attempts;
    return node == to ? f : Fault::kNone;
  };
  const std::string reply = c->send_and_receive({"RPUSH", "b", "id"});
  EXPECT_TRUE(reply.starts_with("-ERR failed")) << reply;
  EXPECT_EQ(attempts, 2) << "once to the redirecting node and once to the node that it named";
  EXPECT_LE(count_runs("id"), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RespUnsafeWriteTest,
    ::testing::Combine(::testing::Values(testbed::RespCluster::Fault::kCloseBefore,
                                         testbed::RespCluster::Fault::kCloseAfter,
                                         testbed::RespCluster::Fault::kHalfReply,
                                         testbed::RespCluster::Fault::kSilent,
                                         testbed::RespCluster::Fault::kGarbage),
                       ::testing::Bool()));

// The node discards repeats of a key for its window only, and a client that is told that nothing
// has run may repeat the write at any time.
TEST_F(RespNodeTest, FailsAKeyedWriteWhoseAnswerIsLost) {
  start_cluster(1, 0,
                "[[pool.class]]\nname = \"booking\"\ncommands = [\"APPEND\"]\neffect = \"keyed\"\n"
                "key_argument = 2\nwindow_ms = 100\naim_ms = 100\ndeadline_ms = 300\n");
  auto c = client();
  cluster->fault = [](int, const resp::Command& command) {
    return command[0] == "APPEND" ? Fault::kSilent : Fault::kNone;
  };
  EXPECT_EQ(c->send_and_receive({"APPEND", "b", "key"}), "-ERR failed, it may have run\r\n");
  EXPECT_GE(count_runs("key"), 1);
  // What has never run is refused as before.
  cluster->kill(0);
  const std::string reply = c->send_and_receive({"APPEND", "b", "other"});
  EXPECT_TRUE(reply.starts_with("-TRYAGAIN ")) << reply;
}

// After a truncated redirection the write may have run, so the balancer must not retry it.
TEST_F(RespNodeTest, DoesNotFollowATruncatedRedirection) {
  start_cluster(2);
  auto c = client();
  const auto slot = slot_of("b");
  cluster->begin_move(slot, 1 - cluster->owner(slot));
  cluster->end_move(slot);
  int attempts = 0;
  cluster->fault = [&](int, const resp::Command&) {
    return ++attempts == 1 ? Fault::kHalfReply : Fault::kNone;
  };
  EXPECT_TRUE(c->send_and_receive({"RPUSH", "b", "x"}).starts_with("-ERR failed"));
  EXPECT_EQ(attempts, 1);
  EXPECT_EQ(count_runs("x"), 0);
}

TEST_F(RespNodeTest, DoesNotRetryANodeThatRedirectsToItself) {
  start_cluster(2);
  auto c = client();
  cluster->fault = [](int, const resp::Command&) { return Fault::kWrongRedirection; };
  const auto before = cluster->commands();
  EXPECT_TRUE(c->send_and_receive({"GET", "k"}).starts_with("-TRYAGAIN "));
  EXPECT_EQ(cluster->commands(), before + 1);
  cluster->fault = nullptr;
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "$-1\r\n");
}

TEST_F(RespNodeTest, GarbageRepliesFailOnlyTheirOwnRequest) {
  start_cluster(1);
  auto c = client(), other = client();
  cluster->fault = [](int, const resp::Command& command) {
    return command[1] == "bad" ? Fault::kGarbage : Fault::kNone;
  };
  c->send(wire({"GET", "bad"}));
  for (int i = 0; i < 50; ++i) EXPECT_EQ(other->send_and_receive({"GET", "good"}), "$-1\r\n");
  const auto reply = c->next();
  EXPECT_TRUE(reply.starts_with("-")) << reply;
  EXPECT_EQ(c->send_and_receive({"GET", "good"}), "$-1\r\n");
}

TEST_F(RespNodeTest, KeepsTheSlotTableWhenNodesLoseTheirs) {
  start_cluster(2);
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "v"}), "+OK\r\n");
  for (const int n : {0, 1}) cluster->restart(n, true);
  EXPECT_TRUE(wait([&] {
    return c->send_and_receive({"GET", "k"}).starts_with("-TRYAGAIN ");
  })) << "CLUSTERDOWN shows that nothing ran";
  EXPECT_EQ(router().table().assigned(), cluster::kSlots)
      << "an empty view must not change the slot table";
  cluster->spread();
  EXPECT_TRUE(wait([&] { return c->send_and_receive({"GET", "k"}) == "$1\r\nv\r\n"; }));
}

TEST_F(RespNodeTest, AnswersInvalidInputWithOneErrorAndCloses) {
  start_cluster(1);
  for (const std::string& text :
       {std::string("*1\r\n$104857600\r\n"), std::string("*2\r\n:1\r\n"),
        std::string("*99999999\r\n"), "GET \"k\r\n" + std::string(), std::string(70000, 'x')}) {
    auto c = client();
    c->send(wire({"PING"}) + text);
    EXPECT_EQ(c->next(), "+PONG\r\n");
    EXPECT_TRUE(c->next().starts_with("-ERR Protocol error")) << text.substr(0, 30);
    EXPECT_TRUE(wait([&] { return c->closed(); }));
    EXPECT_TRUE(c->replies.empty());
  }
  EXPECT_EQ(cluster->commands(), 0u);
}

TEST_F(RespNodeTest, AuthenticatesTenants) {
  start_cluster(
      1, 0,
      "[[pool.tenant]]\nname = \"app\"\npassword = \"secret\"\n[[pool.tenant]]\nname = \"open\"\n",
      "require_auth = true\n");
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "-NOAUTH Authentication required.\r\n");
  EXPECT_TRUE(c->send_and_receive({"HELLO", "3"}).starts_with("-NOAUTH"));
  EXPECT_TRUE(c->send_and_receive({"AUTH", "app", "wrong"}).starts_with("-WRONGPASS"));
  EXPECT_TRUE(
      c->send_and_receive({"HELLO", "3", "AUTH", "app", "wrong"}).starts_with("-WRONGPASS"));
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "-NOAUTH Authentication required.\r\n");
  EXPECT_TRUE(c->send_and_receive({"HELLO", "2", "AUTH", "app", "secret"}).starts_with("*14"));
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "$-1\r\n");
  auto d = client();
  EXPECT_EQ(d->send_and_receive({"AUTH", "open", "anything"}), "+OK\r\n");
  EXPECT_EQ(d->send_and_receive({"GET", "k"}), "$-1\r\n");
  EXPECT_EQ(d->send_and_receive({"RESET"}), "+RESET\r\n");
  EXPECT_EQ(d->send_and_receive({"GET", "k"}), "-NOAUTH Authentication required.\r\n");
}

// The replies to a connection's setup commands (AUTH, HELLO) must not reach clients, also if the
// RESP version changes from request to request.
TEST_F(RespNodeTest, DropsRepliesToSetupCommands) {
  start_cluster(1, 0, "user = \"proxy\"\npassword = \"x\"\n");
  auto c = client(), d = client();
  EXPECT_TRUE(d->send_and_receive({"HELLO", "3"}).starts_with("%"));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(c->send_and_receive({"GET", "none"}), "$-1\r\n");
    EXPECT_EQ(d->send_and_receive({"GET", "none"}), "_\r\n");
  }
}

TEST_F(RespNodeTest, ReplicasServeReadsOfClassesThatAllowThem) {
  start_cluster(1, 2,
                "[[pool.class]]\nname = \"stale\"\ncommands = [\"GET\"]\nprefix = \"rate:\"\n"
                "reads = \"replica\"\n");
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"SET", "rate:1", "v"}), "+OK\r\n");
  std::vector<int> nodes(3);
  cluster->fault = [&](int node, const resp::Command&) {
    ++nodes[static_cast<std::size_t>(node)];
    return Fault::kNone;
  };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(c->send_and_receive({"GET", "rate:1"}), "$1\r\nv\r\n");
  EXPECT_EQ(nodes[0], 0);
  EXPECT_GT(nodes[1], 0);
  EXPECT_GT(nodes[2], 0);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(c->send_and_receive({"GET", "other"}), "$-1\r\n");
  EXPECT_EQ(nodes[0], 5) << "other classes must read from the owner";
}

// The owner fails and a replica takes over. The old owner restarts and still claims its slots.
TEST_F(RespNodeTest, FollowsAFailoverAndIgnoresTheOldOwner) {
  start_cluster(2, 1, "refresh_interval_ms = 100\nrefresh_every_ms = 100\n");
  auto c = client();
  const auto slot = slot_of("k");
  const int old = cluster->owner(slot);
  EXPECT_EQ(c->send_and_receive({"SET", "k", "v"}), "+OK\r\n");
  cluster->kill(old);
  EXPECT_TRUE(c->send_and_receive({"GET", "k"}).starts_with("-TRYAGAIN "))
      << "no replica has taken over yet";
  const int new_owner = cluster->fail_over(old);
  ASSERT_GE(new_owner, 0);
  cluster->update_node(1 - old);
  const auto since = std::chrono::steady_clock::now();
  const auto refreshes = router().counters().refreshes;
  EXPECT_TRUE(wait([&] { return c->send_and_receive({"GET", "k"}) == "$1\r\nv\r\n"; }));
  std::printf(
      "found after %.0f ms and %llu refreshes\n",
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since).count(),
      static_cast<unsigned long long>(router().counters().refreshes - refreshes));
  cluster->restart(old);  // with its old slot map
  for (int i = 0; i < 30; ++i) {
    EXPECT_EQ(c->send_and_receive({"RPUSH", "{k}l", std::to_string(i)}),
              ":" + std::to_string(i + 1) + "\r\n");
    EXPECT_EQ(cluster->runs().back().node, new_owner);
    run_for(io, std::chrono::milliseconds(30));  // refreshes query the old owner too
  }
  EXPECT_GT(router().counters().refreshes, 5u);
}

// memcache and RESP clients in one process.
TEST_F(RespNodeTest, ServesMemcacheAndRespInOneProcess) {
  FakeCache cache(io, [](const auto&, const auto& id) { return FakeCache::value(id, "m"); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  start_cluster(2);
  auto c = client();
  auto m = Peer::connect(io, balancer->local());
  for (int i = 1; i <= 20; ++i) {
    const std::string id = std::to_string(i);
    m->send("mg k v O" + id + " Pc=read,t=acme,d=5000\r\n");
    EXPECT_EQ(c->send_and_receive({"SET", "k" + id, id}), "+OK\r\n");
    ASSERT_TRUE(wait([&] { return m->in == FakeCache::value(id, "m"); })) << m->in;
    m->in.clear();
  }
}

// Nodes that accept connections but never answer occupy all connections that their pool may have;
// the others remain available to memcache. Without the bound they occupied every connection and
// memcache requests found none.
TEST_F(RespNodeTest, AStuckPoolLeavesConnectionsToOtherPools) {
  FakeCache cache(io, [](const auto&, const auto& id) { return FakeCache::value(id, "m"); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  start_cluster(2, 0,
                "most_connections = 20\nstreams_per_connection = 1\n"
                "[[pool.class]]\nname = \"slow\"\ncommands = [\"GET\"]\ndeadline_ms = 3000\n");
  cluster->fault = [](int, const resp::Command&) { return Fault::kSilent; };
  std::vector<std::unique_ptr<RespClient>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(client());
    for (int k = 0; k < 60; ++k) clients.back()->send(wire({"GET", "k" + std::to_string(k)}));
  }
  ASSERT_TRUE(wait([&] { return cluster->commands() >= 20; }));
  run_for(io, std::chrono::milliseconds(50));
  EXPECT_EQ(cluster->commands(), 20u) << "the pool exceeded its bound";
  auto m = Peer::connect(io, balancer->local());
  for (int i = 1; i <= 50; ++i) {
    const std::string id = std::to_string(i);
    m->send("mg k v O" + id + " Pc=read,t=acme,d=5000\r\n");
    ASSERT_TRUE(wait([&] { return m->in.ends_with("\r\n"); }));
    ASSERT_EQ(m->in, FakeCache::value(id, "m"));
    m->in.clear();
  }
  for (auto& c : clients)
    for (int k = 0; k < 60; ++k)
      EXPECT_TRUE(c->next().starts_with("-")) << "each request must end with an error";
}

// A cluster moves slots and fails over while clients check each reply against what they sent.
class RespSoakTest : public RespNodeTest, public ::testing::WithParamInterface<std::uint32_t> {};

TEST_P(RespSoakTest, RepliesAreCorrectAndNoWriteRunsTwice) {
  const std::uint32_t seed = GetParam();
  SCOPED_TRACE(seed);
  std::mt19937 random(seed);
  const char* scale = std::getenv("BALANCER_SOAK");
  const int moves = scale ? 200 : 20, failovers = scale ? 20 : 2;
  start_cluster(3, 2, "most_attempts = 12\n");
  constexpr int kClients = 8, kKeys = 60;
  struct User {
    std::unique_ptr<RespClient> client;
    std::deque<std::pair<char, int>> out;  // 'r' read or 'w' write; index of the key or id
  };
  std::vector<User> users(kClients);
  for (auto& u : users) u.client = client();
  std::map<std::string, int> served;  // writes by id
  std::map<int, std::string> owner_of_value;
  int next_id = 0, sent = 0, answered = 0, reads_ok = 0, refused = 0, failed = 0;
  std::vector<std::string> ids;
  const auto key = [](int k) { return "key" + std::to_string(k); };
  // The values that are read never change: any other reply is wrong.
  for (int k = 0; k < kKeys; ++k)
    ASSERT_EQ(users[0].client->send_and_receive({"SET", key(k), "value-of-" + key(k)}), "+OK\r\n");
  const auto collect = [&](User& u) {
    while (!u.client->replies.empty() && !u.out.empty()) {
      const std::string reply = u.client->replies.front();
      u.client->replies.pop_front();
      const auto [kind, index] = u.out.front();
      u.out.pop_front();
      ++answered;
      if (reply.starts_with("-TRYAGAIN ")) {
        ++refused;
        if (kind == 'w') {
          EXPECT_EQ(count_runs(ids[static_cast<std::size_t>(index)]), 0) << "was rejected but ran";
        }
      } else if (reply.starts_with("-ERR failed")) {
        ++failed;
      } else if (kind == 'r') {
        ++reads_ok;
        const std::string value = "value-of-" + key(index);
        EXPECT_EQ(reply, "$" + std::to_string(value.size()) + "\r\n" + value + "\r\n");
      } else {
        EXPECT_TRUE(reply.starts_with(":")) << reply;
        ++served[ids[static_cast<std::size_t>(index)]];
      }
    }
  };
  const auto step = [&] {
    for (auto& u : users) {
      collect(u);
      for (int i = 0; i < 3 && u.out.size() < 20; ++i) {
        const int k = static_cast<int>(random() % kKeys);
        ++sent;
        if (random() % 2) {
          u.client->send(wire({"GET", key(k)}));
          u.out.emplace_back('r', k);
        } else {
          ids.push_back("id" + std::to_string(next_id));
          u.client->send(wire({"RPUSH", "{" + key(k) + "}log", ids.back()}));
          u.out.emplace_back('w', next_id++);
        }
      }
    }
    for (int i = 0; i < 200; ++i)
      if (io.poll_one() == 0) break;
    io.run_one_for(std::chrono::milliseconds(1));
  };
  for (int m = 0; m < moves; ++m) {
    const auto slot = slot_of(key(static_cast<int>(random() % kKeys)));
    std::vector<int> others = owners();
    std::erase_if(others, [&](int o) { return o == cluster->owner(slot) || !cluster->up(o); });
    const int to = others[random() % others.size()];
    cluster->begin_move(slot, to);
    for (int i = 0; i < 4; ++i) {
      step();
      cluster->move_key(slot);
    }
    if (m % (moves / failovers) == 5) {
      const auto all = owners();
      const int dead = all[random() % all.size()];
      const bool partitioned = random() % 2;  // the node still accepts connections
      if (!partitioned) cluster->kill(dead);
      if (cluster->fail_over(dead) >= 0) {
        for (int i = 0; i < 5; ++i) step();
        for (int n = 0; n < cluster->size(); ++n)
          if (n != dead) cluster->update_node(n);
        for (int i = 0; i < 20; ++i) step();
        cluster->update_node(dead);
      }
      if (!partitioned) cluster->restart(dead);
    }
    if (cluster->moving_to(slot)) cluster->end_move(slot);
    if (random() % 3 == 0) cluster->spread();
  }
  cluster->spread();
  ASSERT_TRUE(wait([&] {
    for (auto& u : users) collect(u);
    return answered == sent;
  })) << sent - answered
      << " requests without a reply";
  std::map<std::string, int> runs;
  for (const auto& r : cluster->runs())
    if (r.command == "RPUSH") ++runs[r.argument];
  for (const auto& [id, n] : runs) EXPECT_EQ(n, 1) << id << " ran " << n << " times";
  for (const auto& [id, n] : served)
    EXPECT_EQ(runs[id], 1) << id << " was answered but did not run";
  EXPECT_GT(reads_ok, sent / 4);
  EXPECT_GT(served.size(), ids.size() / 2);
  std::printf("seed %u: %d asked, %d refused, %d failed, %llu redirections, %llu refreshes\n", seed,
              sent, refused, failed, static_cast<unsigned long long>(cluster->redirections()),
              static_cast<unsigned long long>(router().counters().refreshes));
}

INSTANTIATE_TEST_SUITE_P(Seeds, RespSoakTest, ::testing::Range(1u, 11u));

}  // namespace
}  // namespace balancer::node

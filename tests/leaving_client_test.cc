// No attempt of a request, first or further, starts more than 0.1 s after its client has closed the
// connection. The tests cover each state in which a request may wait when its client disconnects.
//
// Covered by LeavingClientTest and UnreadClientTest in tests/crossings_test.cc:
// - waiting for a connection to its host that is being established,
// - waiting for a free connection to its host,
// - queued after another request on its connection,
// - waiting for a coalesced fetch of another request, or being the leader of such a fetch,
// - in the back-off of a write,
// - held back after a process stall,
// - partly written to its host,
// - unread, with the client's close after it in the socket or in the backlog,
// - unread because of a full pipeline, a protocol error or a lack of memory.
//
// Covered by ClosedClientTest, where the close has been read:
// - received but not processed in the same turn as the commands before it,
// - partly written by its client,
// - waiting for an answer that is a miss, or whose connection breaks,
// - waiting for the timer of its hedged request,
// - waiting for a connection whose connect times out.
//
// Covered by ClosedRespClientTest, for RESP: waiting for an answer that is a redirection, or whose
// connection breaks.
//
// Covered by UnreadCloseTest, where the event loop is late: the event that lets the request
// continue is read before the close.
//
// For the same under load see tests/leaving_load_test.cc.
#include <algorithm>
#include <thread>

#include "dispatch_harness.h"
#include "resp_harness.h"
#include "scripted_node.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;
using Ids = std::vector<std::string>;

// Closes the client's connection. On return the close has arrived at the balancer's socket.
void close_connection(Peer& c, bool by_reset) {
  if (by_reset) c.socket.set_option(asio::socket_base::linger(true, 0));
  c.close();
}

// ---- the close has been read

class ClosedClientTest : public DispatchTest, public ::testing::WithParamInterface<bool> {
 protected:
  // Starts a pool with a host and an origin. A client sends the first request, and disconnects once
  // the host has received it.
  void begin_and_disconnect() {
    begin();
    apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
    auto c = client();
    c->send(get("k", "1"));
    ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
    ASSERT_TRUE(disconnect_client(c, GetParam()));
  }

  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, ClosedClientTest, ::testing::Bool());

TEST_P(ClosedClientTest, StartsNoCommandLeftUnprocessedAtTheClose) {
  site.max_connections = 1;
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  std::string text;
  for (int i = 0; i < 100; ++i) text += get("k", "c" + std::to_string(i));
  c->send(text);
  while (pool->open_requests() == 0) io.run_one();
  const std::size_t taken = pool->open_requests();
  ASSERT_LT(taken, 100u) << "all commands were processed in one turn";
  close_connection(*c, GetParam());
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 0 && pool->open_requests() == 0; }));
  // The first command may have been sent before the close, and occupies the only connection until
  // it is answered.
  for (const std::string& id : cache.ids) cache.answer(id, "v");
  cache.on_command = [&](Peer&, const std::string& id) { cache.answer(id, "v"); };
  auto last = client();
  last->send(get("k", "last"));
  ASSERT_TRUE(wait([&] { return cache.saw("last"); }));
  EXPECT_TRUE(cache.ids == Ids{"last"} || cache.ids == (Ids{"c0", "last"}));
}

TEST_P(ClosedClientTest, ForwardsNoPartlyWrittenCommand) {
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto other = client();
  for (const std::string& text : {get("k", "1"), put("k", "1", 6000)}) {
    auto c = client();
    c->send(text.substr(0, text.size() - 1));
    ASSERT_TRUE(wait([&] { return limits->clients.used() == 2; }));
    ASSERT_TRUE(disconnect_client(c, GetParam()));
  }
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, Ids{"2"});
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(ClosedClientTest, StartsNoFetchForAMissAfterTheClose) {
  begin_and_disconnect();
  auto other = client();
  cache.miss("1");
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  cache.miss("2");
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
}

TEST_P(ClosedClientTest, StartsNoRetryForAResetAfterTheClose) {
  begin_and_disconnect();
  auto other = client();
  cache.from.at("1")->close();
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  cache.from.at("2")->close();
  ASSERT_TRUE(wait([&] { return std::count(cache.ids.begin(), cache.ids.end(), "2") == 2; }));
  EXPECT_EQ(cache.ids, (Ids{"1", "2", "2"}));
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(ClosedClientTest, StartsNoHedgedRequestAfterTheClose) {
  site.policy.hedging = true;
  for (RequestClass& c : site.policy.classes)
    c.latency_objective = milliseconds(800);  // the hedged request is due after half of this
  begin_and_disconnect();
  auto other = client();
  other->send(get("j", "2"));  // its hedged request is due after that of the first request
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
  EXPECT_EQ(cache.ids, (Ids{"1", "2"}));
}

TEST_P(ClosedClientTest, StartsNoRetryOfAConnectTimeoutAfterTheClose) {
  site.connect_timeout = milliseconds(200);
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  cache.server.pause_accepting();
  auto c = client(), other = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  other->send(get("j", "2"));
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
}

// ---- the event loop is late: the close is unread, after the event that lets the request continue

class UnreadCloseTest : public ClosedClientTest {
 protected:
  // Longer than the time after a close within which an attempt may still start.
  static constexpr milliseconds kLate{150};

  // Opens idle connections to the host and to the origin, so that further attempts are sent at
  // once.
  void begin_warm(int at_each = 2) {
    begin();
    apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
    std::vector<std::shared_ptr<Peer>> first;
    for (int i = 0; i < at_each; ++i) {
      const std::string read = "r" + std::to_string(i), write = "w" + std::to_string(i);
      first.push_back(client());
      first.back()->send(get(read, read));
      first.push_back(client());
      first.back()->send(put(write, write));
      ASSERT_TRUE(wait([&] { return cache.saw(read) && origin.saw(write); }));
    }
    for (const std::string& id : cache.ids) cache.answer(id, "v");
    for (const std::string& id : origin.ids) origin.answer(id, "r");
    for (const auto& c : first) {
      ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
      ASSERT_TRUE(disconnect_client(c));
    }
    // An origin connection is not reused for a short time after an answer.
    run_for(io, milliseconds(30));
    cache.ids.clear();
    origin.ids.clear();
  }
  // Closes the client's connection and blocks the event loop. Whatever was written to the balancer
  // before is read before the close.
  void close_unread(Peer& c) {
    close_connection(c, GetParam());
    std::this_thread::sleep_for(kLate);
  }
  // Sends a request from another client, which arrives after everything caused by the close.
  ::testing::AssertionResult send_from_another_client() {
    auto last = client();
    last->send(get("another", "last"));
    return wait([&] { return cache.saw("last"); });
  }
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, UnreadCloseTest, ::testing::Bool());

TEST_P(UnreadCloseTest, StartsNoFetchForAMissReadBeforeTheClose) {
  begin_warm();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  cache.miss("1");
  close_unread(*c);
  ASSERT_TRUE(send_from_another_client());
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(UnreadCloseTest, StartsNoRetryForAResetReadBeforeTheClose) {
  begin_warm();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  cache.from.at("1")->close();
  close_unread(*c);
  ASSERT_TRUE(send_from_another_client());
  EXPECT_EQ(cache.ids, (Ids{"1", "last"}));
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(UnreadCloseTest, StartsNoAttemptOnAConnectionFreedBeforeTheClose) {
  site.max_connections = 1;
  begin();
  apply_list({listed("h", cache.server.local())});
  auto first = client(), c = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  run_for(io, kLate);  // the last check that the client is connected is no longer recent
  cache.answer("1", "v");
  close_unread(*c);
  ASSERT_TRUE(send_from_another_client());
  EXPECT_EQ(cache.ids, (Ids{"1", "last"}));
}

TEST_P(UnreadCloseTest, StartsNoAttemptAfterACoalescedFetchEndsBeforeTheClose) {
  begin_warm();
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  auto leader = client(), c = client();
  leader->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  run_for(io, kLate);  // long enough for the miss to be read
  origin.answer("1", "v");
  close_unread(*c);
  ASSERT_TRUE(send_from_another_client());
  EXPECT_EQ(cache.ids, (Ids{"1", "2", "last"}));
}

TEST_P(UnreadCloseTest, StartsNoRetryOfAKeyedWriteResetBeforeTheClose) {
  begin_warm();
  auto c = client();
  c->send(put("k", "1", 2, "c=save,k=key"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  origin.from.at("1")->close();  // a write with an idempotency key may be retried at once
  close_unread(*c);
  ASSERT_TRUE(send_from_another_client());
  EXPECT_EQ(origin.ids, Ids{"1"});
}

// ---- RESP

class ClosedRespClientTest : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    for (ScriptedNode* node : {&a, &b})
      node->on_command = [this](Peer& p, const ScriptedNode::Arguments& w) {
        if (w[1] == "waits") {
          waiting_at = p.shared_from_this();
        } else {
          p.send("$1\r\nv\r\n");
        }
      };
    OperatorSettings added =
        parse_operator("[[pool]]\nname = \"p\"\nseeds = [\"" + a.server.dial() +
                           "\"]\nrefresh_interval_ms = 20\n[[listener]]\nname = "
                           "\"l\"\naddress = \"127.0.0.1:0\"\npool = \"p\"\n",
                       "test.toml");
    limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
    balancer = std::make_unique<Balancer>(io, config, *limits, std::move(added));
    ASSERT_TRUE(wait(
        [&] { return balancer->cluster_pool(0).router().table().assigned() == cluster::kSlots; }));
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "condition not reached in time";
  }
  // Opens two idle connections to each node, so that further attempts are sent at once.
  void warm() {
    std::vector<std::pair<std::shared_ptr<Peer>, std::string>> requests;
    const auto answer = a.on_command;
    a.on_command = b.on_command = [&](Peer& p, const ScriptedNode::Arguments& w) {
      requests.emplace_back(p.shared_from_this(), w[1]);
    };
    std::vector<std::unique_ptr<RespClient>> clients;
    for (const char* key : {"x", "y"}) {
      clients.push_back(std::make_unique<RespClient>(io, balancer->local(0)));
      clients.back()->send(wire({"GET", key}));
      ASSERT_TRUE(wait([&] { return requests.size() == clients.size(); }));
    }
    for (const auto& [node, key] : std::exchange(requests, {})) node->send(moved(key));
    ASSERT_TRUE(wait([&] { return requests.size() == clients.size(); }));
    for (const auto& [node, key] : requests) node->send("$1\r\nv\r\n");
    for (const auto& c : clients) ASSERT_EQ(c->next(), "$1\r\nv\r\n");
    a.on_command = b.on_command = answer;
  }
  // Returns a redirection of the key from the first node to the second.
  std::string moved(const std::string& key) const {
    return "-MOVED " + std::to_string(cluster::slot_of(key)) + " " + b.server.dial() + "\r\n";
  }
  // Runs `send_event`, which lets the request of a client continue, and closes that client's
  // connection while the event loop is late, so that the close is read last.
  void close_after(const std::function<void(Peer& node)>& send_event) {
    warm();
    RespClient c(io, balancer->local(0));
    c.send(wire({"GET", "waits"}));
    ASSERT_TRUE(wait([&] { return waiting_at != nullptr; }));
    send_event(*std::exchange(waiting_at, nullptr));
    close_connection(c.peer(), GetParam());
    std::this_thread::sleep_for(milliseconds(150));
    RespClient last(io, balancer->local(0));
    EXPECT_EQ(last.send_and_receive({"GET", "last"}), "$1\r\nv\r\n");
  }
  // Returns how often the waiting request was received by the node.
  static std::ptrdiff_t attempts_at(const ScriptedNode& node) {
    return std::count(node.commands.begin(), node.commands.end(),
                      ScriptedNode::Arguments{"GET", "waits"});
  }

  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  FakeDiscovery discovery{io};
  Config config = test_config(discovery.server.local());
  ScriptedNode a{io}, b{io};
  std::shared_ptr<Peer> waiting_at;  // connection on which the waiting request was received
  std::unique_ptr<Balancer> balancer;
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, ClosedRespClientTest, ::testing::Bool());

TEST_P(ClosedRespClientTest, FollowsNoRedirectionReadBeforeTheClose) {
  close_after([&](Peer& node) { node.send(moved("waits")); });
  EXPECT_EQ(attempts_at(a), 1);
  EXPECT_EQ(attempts_at(b), 0);
}

TEST_P(ClosedRespClientTest, StartsNoRetryForAResetReadBeforeTheClose) {
  close_after([](Peer& node) { node.close(); });
  EXPECT_EQ(attempts_at(a), 1);
}

}  // namespace
}  // namespace balancer::node

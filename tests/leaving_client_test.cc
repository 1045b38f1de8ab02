// A client that has closed its connection has gone: no attempt of its request, first or further,
// begins more than 0.1 s after the close. Each wait a request may be in when its client leaves:
//
// | the request waits                         | test                                             |
// | ----------------------------------------- | ------------------------------------------------ |
// | for a connection that comes up            | LeavingClientTest.BehindAConnectionThatComesUp,  |
// |                                           | .InTheTurnInWhichTheConnectionComesUp            |
// | for a place at its host                   | LeavingClientTest.BehindAnotherForAPlace         |
// | behind another on its connection          | LeavingClientTest.BehindAnotherOnItsConnection   |
// | behind another's fetch, or as its leader  | LeavingClientTest.BehindAnothersFetch,           |
// |                                           | .AsTheLeaderOfAFetchThatWaits                    |
// | for the back-off of a write               | LeavingClientTest.DuringABackOff                 |
// | parked behind a standstill                | LeavingClientTest.HeldBackBehindAStandstill      |
// | half written to its host                  | LeavingClientTest.PartlyWrittenToAPeerThat...    |
// | unread, with its client's end behind it   | LeavingClientTest.WithItsCommandUnread,          |
// |                                           | .WhileItWaitsToBeAccepted                        |
// | behind a full pipeline, a fault, memory   | UnreadClientTest.IsHeardToLeave                  |
// | unread behind those taken in one turn     | GoneClientTest.BehindThoseTakenInOneTurn         |
// | half written by its client                | GoneClientTest.HalfWrittenByItsClient            |
// | for an answer that turns out a miss       | GoneClientTest.AMissComesBehindTheLeaving        |
// | for an answer, and the connection breaks  | GoneClientTest.AResetComesBehindTheLeaving       |
// | for its slow-copy timer                   | GoneClientTest.ItsSlowCopyIsDueBehindTheLeaving  |
// | for a connection that times out           | GoneClientTest.ItsConnectionTimesOutBehindThe... |
// | RESP: for an answer that sends it on      | GoneRespClientTest.IsSentOnNoFurther             |
// | RESP: for an answer, the connection breaks| GoneRespClientTest.IsAskedAgainNoFurther         |
// | any, and the loop is late: what lets the  | UnheardLeavingTest, all                          |
// | request go on is read before the close    |                                                  |
//
// The tests of LeavingClientTest and UnreadClientTest stand in tests/crossings_test.cc. Under load:
// tests/leaving_load_test.cc.
#include <algorithm>
#include <thread>

#include "dispatch_harness.h"
#include "resp_harness.h"
#include "scripted_node.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;
using Ids = std::vector<std::string>;

// Closes the client's side. What the balancer has to hear of it has come to its system by then.
void leave(Peer& c, bool by_reset) {
  if (by_reset) c.socket.set_option(asio::socket_base::linger(true, 0));
  c.close();
}

// ---- the leaving has been heard

class GoneClientTest : public DispatchTest, public ::testing::WithParamInterface<bool> {
 protected:
  // A host and an origin; the client of the first request leaves once the host has it.
  void begin_and_leave() {
    begin();
    list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
    auto c = client();
    c->send(get("k", "1"));
    ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
    ASSERT_TRUE(gone(c, GetParam()));
  }

  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, GoneClientTest, ::testing::Bool());

TEST_P(GoneClientTest, BehindThoseTakenInOneTurn) {
  site.max_connections = 1;
  begin();
  list({listed("h", cache.server.local())});
  auto c = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  std::string text;
  for (int i = 0; i < 100; ++i) text += get("k", "c" + std::to_string(i));
  c->send(text);
  while (pool->open_requests() == 0) io.run_one();
  const std::size_t taken = pool->open_requests();
  ASSERT_LT(taken, 100u) << "all taken in one turn";
  leave(*c, GetParam());
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 0 && pool->open_requests() == 0; }));
  // The first of them may have gone out before, and holds the only place until it is answered.
  for (const std::string& id : cache.ids) cache.answer(id, "v");
  cache.on_command = [&](Peer&, const std::string& id) { cache.answer(id, "v"); };
  auto last = client();
  last->send(get("k", "last"));
  ASSERT_TRUE(wait([&] { return cache.saw("last"); }));
  EXPECT_TRUE(cache.ids == Ids{"last"} || cache.ids == (Ids{"c0", "last"}));
}

TEST_P(GoneClientTest, HalfWrittenByItsClient) {
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto other = client();
  for (const std::string& text : {get("k", "1"), put("k", "1", 6000)}) {
    auto c = client();
    c->send(text.substr(0, text.size() - 1));
    ASSERT_TRUE(wait([&] { return limits->clients.used() == 2; }));
    ASSERT_TRUE(gone(c, GetParam()));
  }
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, Ids{"2"});
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(GoneClientTest, AMissComesBehindTheLeaving) {
  begin_and_leave();
  auto other = client();
  cache.miss("1");
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  cache.miss("2");
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
}

TEST_P(GoneClientTest, AResetComesBehindTheLeaving) {
  begin_and_leave();
  auto other = client();
  cache.from.at("1")->close();
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  cache.from.at("2")->close();
  ASSERT_TRUE(wait([&] { return std::count(cache.ids.begin(), cache.ids.end(), "2") == 2; }));
  EXPECT_EQ(cache.ids, (Ids{"1", "2", "2"}));
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(GoneClientTest, ItsSlowCopyIsDueBehindTheLeaving) {
  site.policy.hedging = true;
  for (RequestClass& c : site.policy.classes)
    c.latency_objective = milliseconds(800);  // slow behind the half
  begin_and_leave();
  auto other = client();
  other->send(get("j", "2"));  // later, and so is its copy
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
  EXPECT_EQ(cache.ids, (Ids{"1", "2"}));
}

TEST_P(GoneClientTest, ItsConnectionTimesOutBehindTheLeaving) {
  site.connect_timeout = milliseconds(200);
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  cache.server.hold();
  auto c = client(), other = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  ASSERT_TRUE(gone(c, GetParam()));
  other->send(get("j", "2"));
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, Ids{"2"});
}

// ---- the loop is late: the close has come, and lies unread behind what lets the request go on

class UnheardLeavingTest : public GoneClientTest {
 protected:
  // Longer than an attempt may begin behind a close.
  static constexpr milliseconds kLate{150};

  // So many connections rest at the host and at the origin: what goes on goes out at once.
  void begin_warm(int at_each = 2) {
    begin();
    list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
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
      ASSERT_TRUE(gone(c));
    }
    run_for(io, milliseconds(30));  // one to the origin rests for a while before it is used again
    cache.ids.clear();
    origin.ids.clear();
  }
  // The client leaves, and this process stands still. Whatever was written to the balancer before
  // this is read before it.
  void leave_unheard(Peer& c) {
    leave(c, GetParam());
    std::this_thread::sleep_for(kLate);
  }
  // Something asked for by another behind all that came of the leaving.
  ::testing::AssertionResult ask_another() {
    auto last = client();
    last->send(get("another", "last"));
    return wait([&] { return cache.saw("last"); });
  }
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, UnheardLeavingTest, ::testing::Bool());

TEST_P(UnheardLeavingTest, BehindAMiss) {
  begin_warm();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  cache.miss("1");
  leave_unheard(*c);
  ASSERT_TRUE(ask_another());
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(UnheardLeavingTest, BehindAReset) {
  begin_warm();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  cache.from.at("1")->close();
  leave_unheard(*c);
  ASSERT_TRUE(ask_another());
  EXPECT_EQ(cache.ids, (Ids{"1", "last"}));
  EXPECT_TRUE(origin.ids.empty());
}

TEST_P(UnheardLeavingTest, BehindAPlaceThatComesFree) {
  site.max_connections = 1;
  begin();
  list({listed("h", cache.server.local())});
  auto first = client(), c = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  run_for(io, kLate);  // it was there when it was last looked for, long ago
  cache.answer("1", "v");
  leave_unheard(*c);
  ASSERT_TRUE(ask_another());
  EXPECT_EQ(cache.ids, (Ids{"1", "last"}));
}

TEST_P(UnheardLeavingTest, BehindAnothersFetch) {
  begin_warm();
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  auto leader = client(), c = client();
  leader->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  run_for(io, kLate);  // its miss is read
  origin.answer("1", "v");
  leave_unheard(*c);
  ASSERT_TRUE(ask_another());
  EXPECT_EQ(cache.ids, (Ids{"1", "2", "last"}));
}

TEST_P(UnheardLeavingTest, BehindABreakOfAKeyedWrite) {
  begin_warm();
  auto c = client();
  c->send(put("k", "1", 2, "c=save,k=key"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  origin.from.at("1")->close();  // a keyed one may go out again at once
  leave_unheard(*c);
  ASSERT_TRUE(ask_another());
  EXPECT_EQ(origin.ids, Ids{"1"});
}

// ---- RESP

class GoneRespClientTest : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    for (ScriptedNode* node : {&a, &b})
      node->on_command = [this](Peer& p, const ScriptedNode::Words& w) {
        if (w[1] == "waits") {
          asked = p.shared_from_this();
        } else {
          p.send("$1\r\nv\r\n");
        }
      };
    Operator added = parse_operator("[[pool]]\nname = \"p\"\nseeds = [\"" + a.server.dial() +
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
    return ::testing::AssertionFailure() << "it never came to that";
  }
  // Two connections rest at each node: what goes on goes out at once.
  void warm() {
    std::vector<std::pair<std::shared_ptr<Peer>, std::string>> asking;
    const auto answer = a.on_command;
    a.on_command = b.on_command = [&](Peer& p, const ScriptedNode::Words& w) {
      asking.emplace_back(p.shared_from_this(), w[1]);
    };
    std::vector<std::unique_ptr<RespClient>> clients;
    for (const char* key : {"x", "y"}) {
      clients.push_back(std::make_unique<RespClient>(io, balancer->local(0)));
      clients.back()->send(wire({"GET", key}));
      ASSERT_TRUE(wait([&] { return asking.size() == clients.size(); }));
    }
    for (const auto& [node, key] : std::exchange(asking, {})) node->send(moved(key));
    ASSERT_TRUE(wait([&] { return asking.size() == clients.size(); }));
    for (const auto& [node, key] : asking) node->send("$1\r\nv\r\n");
    for (const auto& c : clients) ASSERT_EQ(c->next(), "$1\r\nv\r\n");
    a.on_command = b.on_command = answer;
  }
  // Sends the request on from the first node to the second.
  std::string moved(const std::string& key) const {
    return "-MOVED " + std::to_string(cluster::slot_of(key)) + " " + b.server.dial() + "\r\n";
  }
  // `goes_on` lets the request of a client go on that has left, unheard as the loop is late.
  void leave_behind(const std::function<void(Peer& node)>& goes_on) {
    warm();
    RespClient c(io, balancer->local(0));
    c.send(wire({"GET", "waits"}));
    ASSERT_TRUE(wait([&] { return asked != nullptr; }));
    goes_on(*std::exchange(asked, nullptr));
    leave(c.peer(), GetParam());
    std::this_thread::sleep_for(milliseconds(150));
    RespClient last(io, balancer->local(0));
    EXPECT_EQ(last.ask({"GET", "last"}), "$1\r\nv\r\n");
  }
  // How often the request that waits came to a node.
  static std::ptrdiff_t begun(const ScriptedNode& node) {
    return std::count(node.commands.begin(), node.commands.end(),
                      ScriptedNode::Words{"GET", "waits"});
  }

  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  FakeDiscovery discovery{io};
  Config config = test_config(discovery.server.local());
  ScriptedNode a{io}, b{io};
  std::shared_ptr<Peer> asked;  // where the request that waits has come
  std::unique_ptr<Balancer> balancer;
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, GoneRespClientTest, ::testing::Bool());

TEST_P(GoneRespClientTest, IsSentOnNoFurther) {
  leave_behind([&](Peer& node) { node.send(moved("waits")); });
  EXPECT_EQ(begun(a), 1);
  EXPECT_EQ(begun(b), 0);
}

TEST_P(GoneRespClientTest, IsAskedAgainNoFurther) {
  leave_behind([](Peer& node) { node.close(); });
  EXPECT_EQ(begun(a), 1);
}

}  // namespace
}  // namespace balancer::node

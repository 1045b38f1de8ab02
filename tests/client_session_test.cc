// Clients of every kind at a real balancer.
#include <algorithm>

#include "node_harness.h"

namespace balancer::node {
namespace {

class ClientSessionTest : public NodeTest {
 protected:
  void SetUp() override {
    discovery.hosts = host_entry("h1", cache.server.dial());
    begin();
  }
  FakeCache cache{io, [this](const auto&, const auto& id) {
                    return silent_ ? std::string() : FakeCache::value(id, "val-" + id);
                  }};
  bool silent_ = false;  // the cache leaves commands unanswered
};

// What makes no sense gets one error and a close, and never reaches a host. Before, some of it was
// passed on, and hosts broke off what else waited on the connection.
TEST_F(ClientSessionTest, AnswersMalformedInputWithOneErrorAndAClose) {
  const std::string read = " v O1 Pc=read,t=acme,d=500\r\n";
  for (const std::string& text :
       {std::string("frob k\r\n"), std::string("\r\n"), std::string("\x01\xff\x02\r\n"),
        std::string(5000, 'k'), "mg k v\r\n" + std::string(),
        "mg k v O1 Pc=nosuch,t=acme,d=5\r\n" + std::string(),
        std::string("mg k v O1 Pc=read,t=acme,d=\r\n"),
        std::string("mg k v O1 Pc=read,t=acme,d=-4\r\n"),
        std::string("mg k v O1 Pc=read,t=acme,d=x\r\n"),
        std::string("mg k v O1 Pc=read,c=book,d=5\r\n"),
        std::string("mg k v q O1 Pc=read,t=acme,d=5\r\n"),
        std::string("mg k O1 Pc=read,t=acme,d=5\r\n"),
        std::string(300, 'k').insert(0, "mg ") + read,
        std::string("ms k -4 O1 Pc=book,d=5\r\nabcd\r\n"),
        std::string("ms k 60000000 O1 Pc=book,d=5\r\n"),
        std::string("ms k 99999999999999999999 O1\r\n"),
        std::string("ms k 2 O1 Pc=book,t=acme,d=5\r\nabcdef\r\n")}) {
    auto c = client();
    c->send(text);
    ASSERT_TRUE(wait([&] { return c->closed; })) << text.substr(0, 80);
    EXPECT_TRUE(c->in.starts_with("CLIENT_ERROR ")) << text.substr(0, 80) << " got " << c->in;
    EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 1) << c->in;
  }
  EXPECT_TRUE(cache.ids.empty());
}

// What follows a fault may be the rest of it, and is not run; what came before it is answered.
TEST_F(ClientSessionTest, RunsNothingAfterMalformedInput) {
  auto c = client();
  c->send(get("k", "1") + "mg k v O2 P=\r\n" + get("k", "3"));
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_TRUE(c->in.starts_with("VA 5 O1\r\nval-1\r\nCLIENT_ERROR ")) << c->in;
  EXPECT_EQ(cache.ids, std::vector<std::string>{"1"});
}

// A client that sent nonsense is held for a moment before it hears of it. That delays no answer to
// anything valid that it sent before: those go out as they come, also long behind the fault.
TEST_F(ClientSessionTest, WritesEarlierAnswersWithoutDelayAfterMalformedInput) {
  silent_ = true;
  auto c = client();
  c->send(get("k", "1") + "frob\r\n");
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  run_for(io, std::chrono::milliseconds(400));  // the hold would be over
  EXPECT_EQ(c->in, "") << "an error went ahead of an answer";
  cache.server.peers.at(0)->send(FakeCache::value("1", "val"));
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_TRUE(c->in.starts_with("VA 3 O1\r\nval\r\nCLIENT_ERROR ")) << c->in;
  // And with a host that answers at once the answer comes while the fault is still held.
  silent_ = false;
  bool ahead = false;
  for (int i = 0; i < 20 && !ahead; ++i) {
    auto d = client();
    d->send(get("k", "2") + "frob\r\n");
    ASSERT_TRUE(wait([&] { return !d->in.empty(); }));
    ahead = d->in == FakeCache::value("2", "val-2");
    ASSERT_TRUE(wait([&] { return d->closed; }));
  }
  EXPECT_TRUE(ahead);
}

// An open request's answer must not go to another client that names its id.
TEST_F(ClientSessionTest, RejectsASecondRequestWithAnOpenId) {
  silent_ = true;
  auto first = client(), second = client();
  first->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  second->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return second->closed; }));
  EXPECT_TRUE(second->in.starts_with("CLIENT_ERROR ")) << second->in;
  cache.server.peers.at(0)->send(FakeCache::value("7", "mine"));
  ASSERT_TRUE(wait([&] { return first->in == "VA 4 O7\r\nmine\r\n"; }));
  // It is free again.
  silent_ = false;
  first->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return first->in.ends_with("val-7\r\n"); }));
}

// Connections on which no request is open have an end, also such that say nothing or stop within a
// command. Before, silent ones stayed until descriptors ran out.
TEST_F(ClientSessionTest, ClosesSilentAndHalfWrittenConnections) {
  std::vector<std::shared_ptr<Peer>> crowd;
  for (const std::string& text : {std::string(), std::string("m"), get("k", "1").substr(0, 20),
                                  std::string("ms k 50 O1 Pc=book,t=acme,d=5\r\nabc")}) {
    crowd.push_back(client());
    crowd.back()->send(text);
  }
  ASSERT_TRUE(wait([&] {
    return std::all_of(crowd.begin(), crowd.end(), [](const auto& c) { return c->closed; });
  }));
  EXPECT_EQ(limits->clients.used(), 0u);
}

// Half-sent bodies are paid for like all else that is held: many of them must not fill the memory.
TEST_F(ClientSessionTest, KeepsHalfReadBodiesWithinTheByteBudget) {
  constexpr std::size_t kBody = 60'000;
  std::vector<std::shared_ptr<Peer>> crowd;
  std::size_t most = 0;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(client());
    crowd.back()->send("ms k " + std::to_string(kBody) + " O" + std::to_string(i) +
                       " Pc=book,t=acme,d=500\r\n" + std::string(kBody / 2, 'b'));
  }
  ASSERT_TRUE(wait([&] { return (most = limits->bytes.used()) >= 20 * kBody; }));
  ASSERT_TRUE(wait([&] {
    most = std::max(most, limits->bytes.used());
    return limits->clients.used() == 0;
  }));
  EXPECT_LE(most, limits->bytes.max());
  EXPECT_EQ(limits->bytes.used(), 0u);
}

// Many commands at once are all answered, in their order.
TEST_F(ClientSessionTest, AnswersPipelinedCommandsInOrder) {
  auto c = client();
  std::string text, expected;
  for (int i = 1; i <= 300; ++i) {
    const std::string id = std::to_string(i);
    text += get("k", id) + "mn\r\n";
    expected += FakeCache::value(id, "val-" + id) + "MN\r\n";
  }
  c->send(text);
  ASSERT_TRUE(wait([&] { return c->in.size() >= expected.size(); }));
  EXPECT_EQ(c->in, expected);
}

// While draining, a client that has just connected is about to ask: it is heard. Those that were
// served before are closed between requests, one that said nothing is closed.
TEST_F(ClientSessionTest, AnswersNewClientsDuringADrain) {
  auto old = client();
  old->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return !old->in.empty(); }));
  balancer->drain();
  auto fresh = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 2; }));
  fresh->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return fresh->closed && old->closed; }));
  EXPECT_EQ(fresh->in, FakeCache::value("2", "val-2"));
}

// Before, a drain closed all connections at once though their clients went on using them, and each
// needed another balancer at that moment. Now they are given back one by one, and until then each
// request gets its answer.
TEST_F(ClientSessionTest, SpreadsTheClosesOfADrain) {
  constexpr int kClients = 8;
  std::vector<std::shared_ptr<Peer>> clients;
  std::vector<int> asked(kClients), answered(kClients);
  int next = 1;
  const auto ask = [&](int i) {
    ++asked[i];
    clients[i]->send(get("k" + std::to_string(i), std::to_string(next++)));
  };
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(client());
    clients[i]->on_data = [&, i](Peer& p) {
      if (!p.in.ends_with("\r\n") || std::count(p.in.begin(), p.in.end(), '\n') < 2) return;
      EXPECT_TRUE(p.in.starts_with("VA ")) << p.in;
      p.in.clear();
      ++answered[i];
    };
    ask(i);
  }
  ASSERT_TRUE(wait([&] { return answered == std::vector<int>(kClients, 1); }));
  balancer->drain();
  std::vector<int> open_at_close;  // how many were open still, each time that one was closed
  std::vector<bool> gone(kClients);
  int open = kClients;
  ASSERT_TRUE(wait([&] {
    for (int i = 0; i < kClients; ++i) {
      if (gone[i]) continue;
      if (clients[i]->closed) {
        gone[i] = true;
        open_at_close.push_back(--open);
      } else if (answered[i] == asked[i] && asked[i] < 3) {
        ask(i);
      }
    }
    return open == 0;
  }));
  EXPECT_EQ(asked, std::vector<int>(kClients, 3)) << "closed before it was used again";
  EXPECT_EQ(answered, asked) << "a request taken in the drain had no answer";
  EXPECT_EQ(open_at_close.size(), static_cast<std::size_t>(kClients));
}

// The balancer's end stops the loop that its peers run on as well: what has come for them by then,
// an answer and a close, is read behind it all the same.
TEST_F(ClientSessionTest, AnswersRequestsThatCameBeforeTheEndOfADrain) {
  auto late = std::make_shared<Peer>(tcp::socket(io));
  late->socket.connect(balancer->local());
  late->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return !cache.ids.empty(); }));
  balancer->drain();
  ASSERT_TRUE(wait([&] { return io.stopped(); }));
  late->read();
  ASSERT_TRUE(wait([&] { return late->closed; }));
  EXPECT_EQ(late->in, FakeCache::value("1", "val-1"));
}

// Where descriptors run short, clients that asked once and stay make room for others; those that
// came back keep their connection.
TEST_F(ClientSessionTest, ClosesOnceUsedConnectionsWhereDescriptorsAreShort) {
  auto regular = client();
  for (const char* id : {"1", "2"}) {
    regular->in.clear();
    regular->send(get("k", id));
    ASSERT_TRUE(wait([&] { return !regular->in.empty(); }));
  }
  std::vector<std::shared_ptr<Peer>> crowd;
  while (!limits->are_client_descriptors_short()) {
    crowd.push_back(client());
    crowd.back()->send(get("k", "c" + std::to_string(crowd.size())));
    ASSERT_TRUE(wait([&] { return !crowd.back()->in.empty() || crowd.back()->closed; }));
  }
  ASSERT_TRUE(wait([&] {
    return std::any_of(crowd.begin(), crowd.end(), [](const auto& c) { return c->closed; });
  }));
  for (const auto& c : crowd) EXPECT_TRUE(c->in.starts_with("VA "));
  EXPECT_FALSE(regular->closed);
}

// A host that can't use one command says so; the next on that connection is answered as ever.
TEST_F(ClientSessionTest, ServesOtherRequestsWhenAHostReportsAnError) {
  silent_ = true;
  auto a = client();
  a->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  silent_ = false;
  cache.server.peers.at(0)->send("CLIENT_ERROR bad request\r\n");
  ASSERT_TRUE(wait([&] { return !a->in.empty(); }));
  a->in.clear();
  a->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return a->in == "VA 5 O2\r\nval-2\r\n"; }));
  EXPECT_EQ(cache.server.peers.size(), 1u) << "the connection was given up";
}

}  // namespace
}  // namespace balancer::node

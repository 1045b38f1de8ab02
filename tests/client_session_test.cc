// Client connections to a real balancer: malformed, silent, slow, pipelining and draining clients.
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

// Malformed input gets one error response and a close, and is never forwarded. Earlier versions
// forwarded some of it, and hosts then closed the connection with other requests in flight on it.
TEST_F(ClientSessionTest, AnswersMalformedInputWithOneErrorAndCloses) {
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

// Input after a malformed command may be a part of it and is not executed; requests before it are
// answered.
TEST_F(ClientSessionTest, RunsNothingAfterMalformedInput) {
  auto c = client();
  c->send(get("k", "1") + "mg k v O2 P=\r\n" + get("k", "3"));
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_TRUE(c->in.starts_with("VA 5 O1\r\nval-1\r\nCLIENT_ERROR ")) << c->in;
  EXPECT_EQ(cache.ids, std::vector<std::string>{"1"});
}

// The error response to malformed input is delayed. The delay does not apply to answers to earlier
// valid requests: they are written as they arrive, even long after the malformed input.
TEST_F(ClientSessionTest, WritesEarlierAnswersWithoutDelayAfterMalformedInput) {
  silent_ = true;
  auto c = client();
  c->send(get("k", "1") + "frob\r\n");
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  run_for(io, std::chrono::milliseconds(400));  // longer than the delay of the error response
  EXPECT_EQ(c->in, "") << "the error response was written before an earlier answer";
  cache.server.peers.at(0)->send(FakeCache::value("1", "val"));
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_TRUE(c->in.starts_with("VA 3 O1\r\nval\r\nCLIENT_ERROR ")) << c->in;
  // If the host answers at once, the answer arrives while the error response is still delayed.
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

// The answer to a request in flight must not go to another client that uses the same id.
TEST_F(ClientSessionTest, RejectsARequestWhoseIdIsInFlight) {
  silent_ = true;
  auto first = client(), second = client();
  first->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  second->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return second->closed; }));
  EXPECT_TRUE(second->in.starts_with("CLIENT_ERROR ")) << second->in;
  cache.server.peers.at(0)->send(FakeCache::value("7", "mine"));
  ASSERT_TRUE(wait([&] { return first->in == "VA 4 O7\r\nmine\r\n"; }));
  // The id can be used again.
  silent_ = false;
  first->send(get("k", "7"));
  ASSERT_TRUE(wait([&] { return first->in.ends_with("val-7\r\n"); }));
}

// Connections without a request in flight time out, including those that send nothing or stop in
// the middle of a command. Earlier, silent connections stayed open until descriptors ran out.
TEST_F(ClientSessionTest, ClosesSilentConnectionsAndThoseWithAPartialCommand) {
  std::vector<std::shared_ptr<Peer>> crowd;
  for (const std::string& text : {std::string(), std::string("m"), get("k", "1").substr(0, 20),
                                  std::string("ms k 50 O1 Pc=book,t=acme,d=5\r\nabc")}) {
    crowd.push_back(client());
    crowd.back()->send(text);
  }
  ASSERT_TRUE(wait([&] {
    return std::all_of(crowd.begin(), crowd.end(), [](const auto& c) { return c->closed; });
  }));
  // A client with a partial command gets an answer, and its connection is held until it closes.
  EXPECT_TRUE(wait([&] { return limits->clients.used() == 0; }));
}

// Partly received bodies count against the byte budget: many of them must not exhaust the memory.
TEST_F(ClientSessionTest, KeepsHalfReadBodiesWithinTheByteBudget) {
  constexpr std::size_t kBody = 60'000;
  std::vector<std::shared_ptr<Peer>> crowd;
  std::size_t max_used = 0;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(client());
    crowd.back()->send("ms k " + std::to_string(kBody) + " O" + std::to_string(i) +
                       " Pc=book,t=acme,d=500\r\n" + std::string(kBody / 2, 'b'));
  }
  ASSERT_TRUE(wait([&] { return (max_used = limits->bytes.used()) >= 20 * kBody; }));
  ASSERT_TRUE(wait([&] {
    max_used = std::max(max_used, limits->bytes.used());
    return limits->clients.used() == 0;
  }));
  EXPECT_LE(max_used, limits->bytes.max());
  EXPECT_EQ(limits->bytes.used(), 0u);
}

// Many pipelined commands are all answered, in order.
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

// During a drain, the first request of a client that has just connected is still answered. Clients
// that were served before are closed between requests, and silent clients are closed.
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

// Connections are closed one by one during a drain, and every request is answered until then.
// Earlier, a drain closed all connections at once although they were in use, and all their clients
// needed another balancer at the same moment.
TEST_F(ClientSessionTest, SpreadsConnectionClosesOverADrain) {
  constexpr int kClients = 8;
  std::vector<std::shared_ptr<Peer>> clients;
  std::vector<int> sent(kClients), answered(kClients);
  int next = 1;
  const auto send_request = [&](int i) {
    ++sent[i];
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
    send_request(i);
  }
  ASSERT_TRUE(wait([&] { return answered == std::vector<int>(kClients, 1); }));
  balancer->drain();
  std::vector<int> open_at_close;  // connections still open after each close
  std::vector<bool> is_closed(kClients);
  int open = kClients;
  ASSERT_TRUE(wait([&] {
    for (int i = 0; i < kClients; ++i) {
      if (is_closed[i]) continue;
      if (clients[i]->closed) {
        is_closed[i] = true;
        open_at_close.push_back(--open);
      } else if (answered[i] == sent[i] && sent[i] < 3) {
        send_request(i);
      }
    }
    return open == 0;
  }));
  EXPECT_EQ(sent, std::vector<int>(kClients, 3)) << "a connection was closed before it was reused";
  EXPECT_EQ(answered, sent) << "a request received during the drain was not answered";
  EXPECT_EQ(open_at_close.size(), static_cast<std::size_t>(kClients));
}

// When the drain ends, the balancer stops the event loop that its peers run on too. The answer and
// the close that were sent before that are read afterwards.
TEST_F(ClientSessionTest, AnswersRequestsReceivedBeforeTheEndOfADrain) {
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

// When descriptors are short, idle clients that have sent only one request are closed; clients that
// have reused their connection keep it.
TEST_F(ClientSessionTest, ClosesSingleUseConnectionsWhenDescriptorsAreShort) {
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

// A host that reports an error for one command still answers the next one on the same connection.
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
  EXPECT_EQ(cache.server.peers.size(), 1u) << "the connection was replaced";
}

}  // namespace
}  // namespace balancer::node

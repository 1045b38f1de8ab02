// Misbehaving cache hosts and origins behind a real balancer: malformed, truncated and extra
// answers, and early closes.
#include <algorithm>

#include "node_harness.h"

namespace balancer::node {
namespace {

class UpstreamTest : public NodeTest {
 protected:
  static std::string put(const std::string& id) {
    return "ms k 2 O" + id + " Pc=book,t=acme,d=5000\r\nab\r\n";
  }
  // Returns the handler of an origin that sends `answer` for every request.
  static std::function<void(Peer&)> origin(std::function<std::string(const std::string&)> answer) {
    return [answer](Peer& p) {
      for (auto end = p.in.find("\r\n\r\n"); end != std::string::npos;
           end = p.in.find("\r\n\r\n")) {
        const std::string head = p.in.substr(0, end);
        p.in.erase(0, end + 4);
        p.send(answer(head));
      }
    };
  }
  static std::string http(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

// A valid answer is followed by extra bytes without a line end. These must not become the start of
// the next answer on that connection.
TEST_F(UpstreamTest, ServesTheNextRequestAfterAnAnswerWithExtraBytes) {
  FakeCache cache(io, [](const auto&, const auto& id) {
    return FakeCache::value(id, "val-" + id) + (id == "1" ? "noise" : "");
  });
  discovery.hosts = host_entry("h1", cache.server.dial());
  begin();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "val-1"); }));
  c->in.clear();
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, FakeCache::value("2", "val-2"));
  EXPECT_EQ(cache.ids.size(), 2u) << "the second request was sent more than once";
}

// A malformed answer fails its attempt, and reads are retried at another host. The host is not
// treated as unreachable.
class CorruptAnswerTest : public UpstreamTest, public ::testing::WithParamInterface<std::string> {};

TEST_P(CorruptAnswerTest, RetriesTheReadAtAnotherHost) {
  int answers = 0;
  const auto answer = [&](const auto&, const auto& id) {
    return ++answers == 1 ? GetParam() : FakeCache::value(id, "good");
  };
  FakeCache a(io, answer), b(io, answer);
  Server store(io, origin([&](const auto&) { return http("good"); }));
  discovery.hosts = host_entry("a", a.server.dial()) + "," + host_entry("b", b.server.dial()) +
                    "," + host_entry("o", store.dial(), "origin");
  begin();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, FakeCache::value("1", "good"));
  // The next request for the key goes to the same host as before.
  c->in.clear();
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("2", "good"); }));
  EXPECT_EQ(std::max(a.ids.size(), b.ids.size()), 2u)
      << "a single malformed answer ejected its host";
  EXPECT_EQ(std::min(a.ids.size(), b.ids.size()), 0u);
}

INSTANTIATE_TEST_SUITE_P(Kinds, CorruptAnswerTest,
                         ::testing::Values("\x01\x02noise\r\n", std::string(5000, 'x'),
                                           "VA 3000000000 O1\r\nabc", "VA 3 Oother\r\nabc\r\n",
                                           "VA -1 O1\r\n", "VA 5 O1\r\nab", "VA 2 O1\r\nabcdef\r\n",
                                           "VA 2"));

// A host may close a connection as soon as it has answered. Therefore a non-idempotent write is
// sent on a connection that has been idle for a moment or on a new one, never directly after an
// answer.
TEST_F(UpstreamTest, SendsNoNonIdempotentWriteDirectlyAfterAnAnswer) {
  std::vector<Peer*> seen;
  Server store(io, [&](Peer& p) {
    if (p.in.find("\r\n\r\nab") == std::string::npos) return;
    p.in.clear();
    seen.push_back(&p);
    p.send(http("receipt"));
  });
  discovery.hosts = host_entry("o", store.dial(), "origin");
  begin();
  auto c = client();
  c->on_data = [&](Peer& p) {  // sends the next request as soon as the answer arrives
    if (seen.size() < 30) p.send(put(std::to_string(seen.size() + 1)));
  };
  c->send(put("1"));
  ASSERT_TRUE(wait([&] { return seen.size() == 30; }));
  // On a slow machine some connections may have been idle for long enough, but hardly all.
  int others = 0;
  for (std::size_t i = 1; i < seen.size(); ++i) others += seen[i] != seen[i - 1];
  EXPECT_GT(others, 0);
}

// A reset does not terminate a body: a body truncated by one is not served, whether or not the
// answer announces that the connection closes. Reads are retried; a write that may have been
// executed fails and is not sent again.
TEST_F(UpstreamTest, ServesNoBodyTruncatedByAReset) {
  int gets = 0, puts = 0;
  FakeCache cache(io, [](const auto&, const auto& id) { return "EN O" + id + "\r\n"; });
  Server store(io, [&](Peer& p) {
    const auto end = p.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const bool set = p.in.starts_with("PUT"),
               announced = p.in.find("X-Trace-Id: 1\r") == std::string::npos;
    p.in.clear();
    if (!set && ++gets % 2 == 0) return p.send(http("whole"));
    puts += set;
    p.send(announced ? "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"
                     : "HTTP/1.1 200 OK\r\n\r\nhalf");
    p.socket.set_option(asio::socket_base::linger(true, 0));
    p.close();
  });
  discovery.hosts =
      host_entry("h1", cache.server.dial()) + "," + host_entry("o", store.dial(), "origin");
  begin();
  auto c = client();
  for (const std::string id : {"1", "2"}) {
    c->in.clear();
    c->send(get("k", id));
    ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
    EXPECT_EQ(c->in, FakeCache::value(id, "whole"));
  }
  EXPECT_EQ(gets, 4);
  c->in.clear();
  c->send(put("3"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "SERVER_ERROR failed\r\n");
  run_for(io, std::chrono::milliseconds(100));
  EXPECT_EQ(puts, 1);
}

// An answer without a length is terminated by an orderly close of the origin, and is then complete.
TEST_F(UpstreamTest, EndsAnAnswerWithoutALengthAtAnOrderlyClose) {
  int calls = 0;
  FakeCache cache(io, [](const auto&, const auto& id) { return "EN O" + id + "\r\n"; });
  Server store(io, [&](Peer& p) {
    const auto end = p.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = p.in.substr(0, end);
    p.in.clear();
    ++calls;
    const bool announced = head.find("X-Trace-Id: 2") != std::string::npos;
    p.send(std::string("HTTP/1.1 200 OK\r\n") + (announced ? "Connection: close\r\n" : "") +
           "\r\n" + (head.starts_with("PUT") ? "receipt" : "value"));
    p.close();
  });
  discovery.hosts =
      host_entry("h1", cache.server.dial()) + "," + host_entry("o", store.dial(), "origin");
  begin();
  auto c = client();
  for (const std::string id : {"1", "2"}) {
    c->in.clear();
    c->send(get("k", id));
    ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
    EXPECT_EQ(c->in, FakeCache::value(id, "value"));
  }
  c->in.clear();
  c->send(put("3"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "HD O3 creceipt\r\n");
  EXPECT_EQ(calls, 3) << "a request with a complete answer was retried";
}

// 1xx responses before an answer and a second copy after it are legal or harmless: the answer is
// served once.
TEST_F(UpstreamTest, ServesValidAnswersWithExtraResponsesAroundThem) {
  FakeCache cache(io, [](const auto&, const auto& id) { return "EN O" + id + " Lx=,=,7\r\n"; });
  Server store(io, origin([](const std::string& head) {
                 if (head.find("X-Trace-Id: 1") != std::string::npos)
                   return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" +
                          http("one");
                 return http("two") + http("two");
               }));
  discovery.hosts =
      host_entry("h1", cache.server.dial()) + "," + host_entry("o", store.dial(), "origin");
  begin();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "one"); }));
  c->in.clear();
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("2", "two"); }));
  c->in.clear();
  c->send(get("k", "3"));
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("3", "two"); }));
}

}  // namespace
}  // namespace balancer::node

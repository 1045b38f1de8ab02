// Peers that write or read slowly, but go on: servers whose answer pauses, clients whose request or
// reading takes seconds. None of them may be cut off while its client's time lasts, and none may
// make the final answer late.
#include <algorithm>

#include "node_harness.h"
#include "resp_harness.h"
#include "scripted_node.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

// Longer than a server's answer paused in the reports of operators.
constexpr milliseconds kPause{600};

// An origin that writes the pieces of its answer with a pause in front of each but the first.
class PausingServer {
 public:
  PausingServer(asio::io_context& io, std::vector<std::string> pieces, bool then_close = false)
      : server(io, [this](Peer& p) { on_data(p); }),
        io_(io),
        pieces_(std::move(pieces)),
        then_close_(then_close) {}

  Server server;

 private:
  void on_data(Peer& p) {
    const auto end = p.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    p.in.clear();
    write(p.shared_from_this(), 0);
  }
  void write(const std::shared_ptr<Peer>& peer, std::size_t next) {
    if (peer->closed) return;
    if (next == pieces_.size()) {
      if (then_close_) peer->close();
      return;
    }
    peer->send(pieces_[next]);
    auto timer = std::make_shared<asio::steady_timer>(io_, kPause);
    timer->async_wait([this, peer, next, timer](auto) { write(peer, next + 1); });
  }

  asio::io_context& io_;
  const std::vector<std::string> pieces_;
  const bool then_close_;
};

class SlowServerTest : public NodeTest {
 protected:
  static std::string http_head(const std::string& field) {
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n";
  }
  static std::string chunk(std::size_t size) {
    char text[16];
    std::snprintf(text, sizeof text, "%zx\r\n", size);
    return text + std::string(size, 'c') + "\r\n";
  }
  // Lists only the origin, requests a key and returns what the client gets.
  std::string read_from(const PausingServer& origin, std::size_t size) {
    discovery.hosts = host_entry("o", origin.server.dial(), "origin");
    begin();
    auto c = client();
    c->send(get("k", "1"));
    const std::size_t whole = FakeCache::value("1", std::string(size, 'c')).size();
    run_until(
        io, [&] { return c->in.size() >= whole || c->in.starts_with("SERVER") || c->closed; },
        seconds(10));
    return c->in;
  }
};

TEST_F(SlowServerTest, ServesALongValueWhoseBodyFollowsItsHeadLate) {
  constexpr std::size_t kSize = 243'890;
  const std::string body(kSize, 'c');
  PausingServer origin(io, {http_head("Content-Length: " + std::to_string(kSize)),
                            body.substr(0, 50'000), body.substr(50'000)});
  EXPECT_TRUE(read_from(origin, kSize) == FakeCache::value("1", body));
  EXPECT_FALSE(origin.server.peers.at(0)->closed) << "the first answer was cut off";
}

TEST_F(SlowServerTest, ServesAShortValueWhoseBodyFollowsItsHeadLate) {
  PausingServer origin(
      io, {http_head("Content-Length: 600"), std::string(300, 'c'), std::string(300, 'c')});
  EXPECT_EQ(read_from(origin, 600), FakeCache::value("1", std::string(600, 'c')));
}

TEST_F(SlowServerTest, ServesALongChunkedValueWithPauses) {
  PausingServer origin(io, {http_head("Transfer-Encoding: chunked"), chunk(40'000), chunk(40'000),
                            chunk(20'000) + "0\r\n\r\n"});
  EXPECT_TRUE(read_from(origin, 100'000) == FakeCache::value("1", std::string(100'000, 'c')));
}

TEST_F(SlowServerTest, ServesAValueOfUnstatedLengthWithPauses) {
  PausingServer origin(
      io, {http_head("Connection: close"), std::string(40'000, 'c'), std::string(40'000, 'c')},
      true);
  EXPECT_TRUE(read_from(origin, 80'000) == FakeCache::value("1", std::string(80'000, 'c')));
}

TEST_F(SlowServerTest, ServesAnAnswerWhoseHeadComesInPieces) {
  PausingServer origin(io, {"HTTP/1.1 200 ", "OK\r\nContent-Le", "ngth: 3\r\n\r\nccc"});
  EXPECT_EQ(read_from(origin, 3), FakeCache::value("1", "ccc"));
}

TEST_F(SlowServerTest, ServesACacheValueThatPausesInTheMiddle) {
  const std::string answer = FakeCache::value("1", std::string(600, 'c'));
  Server cache(io, [&](Peer& p) {
    if (p.take_line().empty()) return;
    p.send(answer.substr(0, 300));
    auto timer = std::make_shared<asio::steady_timer>(io, kPause);
    timer->async_wait([&answer, timer, peer = p.shared_from_this()](auto) {
      if (!peer->closed) peer->send(answer.substr(300));
    });
  });
  discovery.hosts = host_entry("h", cache.dial());
  begin();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == answer || c->in.starts_with("SERVER"); }));
  EXPECT_EQ(c->in, answer);
}

// A spoilt answer that never ends must not hold its request up: a hedged request is sent beside it.
TEST_F(SlowServerTest, HedgesAReadWhoseAnswerStops) {
  Server cache(io, [&](Peer& p) {
    const std::string line = p.take_line();
    if (!line.empty()) p.send("VA 600 O1\r\nabc");
  });
  PausingServer origin(io, {http_head("Content-Length: 3") + "ccc"});
  discovery.hosts =
      host_entry("h", cache.dial()) + "," + host_entry("o", origin.server.dial(), "origin");
  begin();
  const auto began = SteadyClock::now();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, FakeCache::value("1", "ccc"));
  EXPECT_LT(SteadyClock::now() - began, seconds(1));
}

class SlowRespNodeTest : public RespNodeTest {};

TEST_F(SlowRespNodeTest, PassesOnAReplyThatPausesInTheMiddle) {
  ScriptedNode node(io);
  node.on_command = [&](Peer& p, const ScriptedNode::Arguments&) {
    p.send("$6\r\nabc");
    auto timer = std::make_shared<asio::steady_timer>(io, kPause);
    timer->async_wait([timer, peer = p.shared_from_this()](auto) {
      if (!peer->closed) peer->send("def\r\n");
    });
  };
  OperatorSettings added =
      parse_operator("[[pool]]\nname = \"history\"\nseeds = [\"" + node.server.dial() +
                         "\"]\nrefresh_interval_ms = 20\n[[listener]]\nname = \"resp\"\naddress = "
                         "\"127.0.0.1:0\"\npool = \"history\"\n",
                     "test.toml");
  limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
  balancer = std::make_unique<Balancer>(io, config, *limits, std::move(added));
  ASSERT_TRUE(wait(
      [&] { return balancer->cluster_pool(0).router().table().assigned() == cluster::kSlots; }));
  auto c = client();
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "$6\r\nabcdef\r\n");
}

// ---- clients

class SlowClientTest : public NodeTest {
 protected:
  void SetUp() override {
    discovery.hosts =
        host_entry("o", origin.dial(), "origin") + "," + host_entry("h", cache.server.dial());
    begin();
  }
  // Writes `text` in pieces, with `pause` between two of them.
  void write_slowly(Peer& c, const std::string& text, std::size_t piece, milliseconds pause) {
    for (std::size_t at = 0; at < text.size() && !c.closed; at += piece) {
      c.send(text.substr(at, piece));
      run_for(io, pause);
    }
  }
  Server origin{io, [this](Peer& p) {
                  const auto end = p.in.find("\r\n\r\n");
                  if (end == std::string::npos || p.in.size() < end + 4 + kBody) return;
                  p.in.clear();
                  p.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nr-1");
                }};
  FakeCache cache{io, [](const auto&, const auto& id) { return FakeCache::value(id, "v"); }};
  static constexpr std::size_t kBody = 60'000;
};

TEST_F(SlowClientTest, ServesABodyThatTakesThreeSecondsToWrite) {
  auto c = client();
  write_slowly(*c,
               "ms k " + std::to_string(kBody) + " Ow1 Pc=book,t=acme,d=5000\r\n" +
                   std::string(kBody, 'b') + "\r\n",
               2'000, milliseconds(100));
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_EQ(c->in, "HD Ow1 cr-1\r\n");
}

TEST_F(SlowClientTest, ServesALineThatTakesThreeSecondsToWrite) {
  auto c = client();
  write_slowly(*c, get("k", "1"), 4, milliseconds(400));
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_EQ(c->in, FakeCache::value("1", "v"));
}

// Bad clients are owed an answer or a close within 3 s of connecting. A client that stops gets an
// answer line, because it may complete its request in the moment in which it is ended.
TEST_F(SlowClientTest, EndsAClientThatStopsInTheMiddleWithAnAnswer) {
  const auto began = SteadyClock::now();
  std::vector<std::shared_ptr<Peer>> clients;
  for (const std::string& text :
       {get("k", "1").substr(0, 20), "ms k 50 O1 Pc=book,t=acme,d=5\r\nabc" + std::string(),
        "ms k 60000 O2 Pc=book,t=acme,d=5\r\n" + std::string(30'000, 'b')}) {
    clients.push_back(client());
    clients.back()->send(text);
  }
  ASSERT_TRUE(wait([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->closed; });
  }));
  EXPECT_LE(SteadyClock::now() - began, seconds(3));
  for (const auto& c : clients) EXPECT_EQ(c->in, "SERVER_ERROR busy\r\n");
}

class SlowClientOfOneHostTest : public NodeTest {};

// A client that reads a long value at 20 KB/s may take minutes, in which the kernel accepts further
// bytes only every few seconds.
TEST_F(SlowClientOfOneHostTest, KeepsAClientThatReadsALongValueSlowly) {
  constexpr std::size_t kSize = 4u << 20;
  Server host(io, [&](Peer& p) {
    if (p.take_line().empty()) return;
    const auto answer =
        std::make_shared<std::string>(FakeCache::value("1", std::string(kSize, 'v')));
    asio::async_write(p.socket, asio::buffer(*answer),
                      [answer, peer = p.shared_from_this()](auto, auto) {});
  });
  discovery.hosts = host_entry("long", host.dial());
  begin();
  tcp::socket reader(io);
  reader.open(tcp::v4());
  reader.connect(balancer->local());
  asio::write(reader, asio::buffer(get("k", "1")));
  std::string piece(2'000, '\0');
  std::size_t received = 0;
  const auto end = SteadyClock::now() + seconds(14);
  boost::system::error_code error;
  while (!error && SteadyClock::now() < end) {
    run_for(io, milliseconds(100));
    if (reader.available() > 0) received += reader.read_some(asio::buffer(piece), error);
  }
  ASSERT_FALSE(error) << error.message() << " after " << received << " bytes";
  reader.non_blocking(true);
  std::string rest(256u << 10, '\0');
  while (!error && received < kSize) {
    run_for(io, milliseconds(2));
    received += reader.read_some(asio::buffer(rest), error);
    if (error == asio::error::would_block) error = {};
  }
  EXPECT_GE(received, kSize) << error.message();
}

// A request whose body waits in its socket until memory is free has that much less time.
TEST_F(SlowClientOfOneHostTest, AnswersInTimeARequestThatHasWaitedForMemory) {
  Server silent(io, [](Peer&) {});
  discovery.hosts = host_entry("o", silent.dial(), "origin");
  begin();
  Reservation taken(limits->bytes, limits->bytes.max());
  auto c = client();
  c->send("ms k 60000 Ow1 Pc=book,t=acme,d=1000\r\n" + std::string(60'000, 'b') + "\r\n");
  const auto began = SteadyClock::now();
  run_for(io, milliseconds(300));
  taken.resize(0);
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_LE(SteadyClock::now() - began, milliseconds(1150)) << c->in;
}

}  // namespace
}  // namespace balancer::node

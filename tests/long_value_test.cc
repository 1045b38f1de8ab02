// Values of up to 4 MiB through a balancer with little memory, streamed at the rate of the slower
// side.
#include <gtest/gtest.h>

#include <algorithm>

#include "net/value_stream.h"
#include "node_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLong = 4u << 20;

std::string bytes_of(std::size_t n) {
  std::string text(n, '\0');
  for (std::size_t i = 0; i < n; ++i) text[i] = static_cast<char>('a' + (i * 7 + i / 997) % 26);
  return text;
}

// A cache host that writes as fast as its peer reads, and answers each command as the test decides.
class LongHost {
 public:
  struct Reply {
    std::string text;
    bool then_close = false;
  };
  using Answer = std::function<Reply(const std::string& line, const std::string& id)>;

  LongHost(asio::io_context& io, Answer answer)
      : server(io,
               [this](Peer& p) {
                 for (std::string line = p.take_line(); !line.empty(); line = p.take_line()) {
                   const auto at = line.find(" O") + 2;
                   ++commands;
                   auto reply = std::make_shared<Reply>(
                       answer_(line, line.substr(at, line.find(' ', at) - at)));
                   asio::async_write(p.socket, asio::buffer(reply->text),
                                     [this, reply, peer = p.shared_from_this()](auto e, auto n) {
                                       written += n;
                                       failed += static_cast<bool>(e);
                                       boost::system::error_code ignored;
                                       if (reply->then_close)
                                         peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
                                     });
                 }
               }),
        answer_(std::move(answer)) {}

  int commands = 0, failed = 0;
  std::size_t written = 0;
  Server server;

 private:
  Answer answer_;
};

// A client with a small receive buffer that reads only after read(), at most `piece` bytes at a
// time.
class SlowReader : public std::enable_shared_from_this<SlowReader> {
 public:
  SlowReader(asio::io_context& io, const Endpoint& at, std::size_t piece)
      : socket(io), piece_(piece), buffer_(piece, '\0') {
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(at);
  }
  void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  void read() {
    socket.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](auto e, auto n) {
      if (e) {
        self->closed = true;
        return;
      }
      self->in.append(self->buffer_, 0, n);
      self->read();
    });
  }
  tcp::socket socket;
  std::string in;
  bool closed = false;

 private:
  const std::size_t piece_;
  std::string buffer_;
};

class LongValueTest : public NodeTest {
 protected:
  void begin_with(std::vector<LongHost*> hosts) {
    for (std::size_t i = 0; i < hosts.size(); ++i)
      discovery.hosts +=
          (i ? "," : "") + host_entry("s-" + std::to_string(i), hosts[i]->server.dial());
    begin();
  }
  std::shared_ptr<SlowReader> reader(std::size_t piece = 1024) {
    return std::make_shared<SlowReader>(io, balancer->local(), piece);
  }
  static std::string answer(const std::string& id, const std::string& value) {
    return FakeCache::value(id, value);
  }
  // Waits until all byte and client reservations have been released.
  ::testing::AssertionResult all_released() {
    return wait([&] { return limits->bytes.used() == 0 && limits->clients.used() == 0; });
  }
};

// Short requests are served while another client reads a long value 1 KiB at a time, and no more
// than two stream windows are reserved.
TEST_F(LongValueTest, ServesOtherClientsDuringASlowRead) {
  const std::string value = bytes_of(kLong);
  LongHost host(io, [&](const std::string& line, const std::string& id) -> LongHost::Reply {
    return {answer(id, line.starts_with("mg long") ? value : "v")};
  });
  begin_with({&host});
  auto slow = reader();
  slow->send(get("long", "1"));
  ASSERT_TRUE(wait([&] { return slow->socket.available() > 0; }))
      << "the first bytes were not sent immediately";
  slow->read();
  auto quick = client();
  std::size_t max_used = 0;
  int id = 1, served = 0;
  ASSERT_TRUE(wait([&] {
    max_used = std::max(max_used, limits->bytes.used());
    if (quick->in == FakeCache::value(std::to_string(id), "v")) ++served;
    if (quick->in.empty() ? id == 1 : true) {
      quick->in.clear();
      quick->send(get("k", std::to_string(++id)));
      return wait([&] { return quick->in.ends_with("v\r\n"); }) &&
             slow->in.size() == answer("1", value).size();
    }
    return slow->in.size() == answer("1", value).size();
  }));
  EXPECT_TRUE(slow->in == answer("1", value));
  EXPECT_GT(served, 20);
  EXPECT_LE(max_used, 2 * ValueStream::kWindow);
}

// 100 values of 1 MiB, three times the memory limit of the process.
TEST_F(LongValueTest, StreamsAHundredValuesWithinTheMemoryLimit) {
  const std::string value = bytes_of(1u << 20);
  LongHost host(io, [&](const std::string&, const std::string& id) -> LongHost::Reply {
    return {answer(id, value)};
  });
  config.sockets = 512;  // enough for one host connection per client
  begin_with({&host});
  ASSERT_EQ(config.memory_mb, 32u);
  std::vector<std::shared_ptr<SlowReader>> readers;
  for (int i = 0; i < 100; ++i) {
    readers.push_back(reader(64u << 10));
    readers.back()->send(get("k" + std::to_string(i), std::to_string(i)));
    readers.back()->read();
  }
  std::size_t max_used = 0;
  ASSERT_TRUE(run_until(
      io,
      [&] {
        max_used = std::max(max_used, limits->bytes.used());
        return std::all_of(readers.begin(), readers.end(), [&](const auto& r) {
          return r->closed || r->in.size() >= value.size() + 20;
        });
      },
      std::chrono::seconds(120)));
  run_for(io, milliseconds(50));
  int whole = 0;
  for (int i = 0; i < 100; ++i) whole += readers[i]->in == answer(std::to_string(i), value);
  EXPECT_EQ(whole, 100);
  EXPECT_LE(max_used, limits->bytes.max());
}

// If the host closes in the middle of a value, the client gets the bytes received so far and a
// close.
TEST_F(LongValueTest, ClosesWithoutPaddingWhenTheHostCloses) {
  const std::string value = bytes_of(kLong);
  LongHost host(io, [&](const std::string&, const std::string& id) -> LongHost::Reply {
    return {answer(id, value).substr(0, 1000000), true};
  });
  begin_with({&host});
  auto c = reader(64u << 10);
  c->send(get("k", "1"));
  c->read();
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_TRUE(c->in == answer("1", value).substr(0, 1000000)) << c->in.size();
  EXPECT_EQ(host.commands, 1) << "a second attempt was started after the first byte was sent";
  EXPECT_TRUE(all_released());
}

// An answer whose first line has another request's id, or a length above the limit, is not
// forwarded. The request is retried at the origin, whose long answer is forwarded unless it has
// another request's id.
TEST_F(LongValueTest, RetriesAtTheOriginAfterAnInvalidFirstLine) {
  const std::string value = bytes_of(100000);
  LongHost host(io, [&](const std::string& line, const std::string& id) -> LongHost::Reply {
    if (line.starts_with("mg long")) return {"VA 4194305 O" + id + "\r\n" + value};
    return {answer(id + "x", value)};
  });
  int fetched = 0;
  Server origin(io, [&](Peer& p) {
    const auto end = p.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const bool other = p.in.starts_with("GET /other");
    p.in.clear();
    ++fetched;
    p.send("HTTP/1.1 200 OK\r\n" + std::string(other ? "X-Trace-Id: other\r\n" : "") +
           "Content-Length: " + std::to_string(value.size()) + "\r\n\r\n" + value);
  });
  discovery.hosts = host_entry("o", origin.dial(), "origin") + ",";
  begin_with({&host});
  for (const std::string key : {"id", "long"}) {
    auto c = reader(64u << 10);
    c->send(get(key, key));
    c->read();
    ASSERT_TRUE(wait([&] { return c->in.size() == answer(key, value).size() || c->closed; }));
    EXPECT_TRUE(c->in == answer(key, value)) << key;
  }
  EXPECT_EQ(host.commands, 2);
  EXPECT_EQ(fetched, 2);
  auto c = reader(64u << 10);
  c->send(get("other", "3"));
  c->read();
  ASSERT_TRUE(wait([&] { return c->in.ends_with("\r\n") || c->closed; }));
  EXPECT_FALSE(c->in.starts_with("VA")) << "another request's value was forwarded";
}

// When the client disconnects, the transfer from the host ends and all reservations are released.
TEST_F(LongValueTest, ClosesTheHostConnectionWhenTheClientCloses) {
  const std::string value = bytes_of(kLong);
  LongHost host(io, [&](const std::string&, const std::string& id) -> LongHost::Reply {
    return {answer(id, value)};
  });
  begin_with({&host});
  auto c = reader();
  c->send(get("k", "1"));
  c->read();
  ASSERT_TRUE(wait([&] { return c->in.size() > 10000; }));
  c->socket.close();
  ASSERT_TRUE(wait([&] { return host.failed == 1; })) << "the host can still write";
  EXPECT_LT(host.written, kLong);
  EXPECT_TRUE(all_released());
}

// Connections time out if the client reads nothing, or if the host stops in the middle of a value.
TEST_F(LongValueTest, ClosesConnectionsThatMakeNoProgress) {
  const std::string value = bytes_of(kLong);
  LongHost host(io, [&](const std::string& line, const std::string& id) -> LongHost::Reply {
    const bool stops = line.starts_with("mg stops");
    return {answer(id, value).substr(0, stops ? 500000 : kLong)};
  });
  begin_with({&host});
  auto idle_reader = reader(), waits = reader(64u << 10);
  idle_reader->send(get("k", "1"));
  waits->send(get("stops", "2"));
  waits->read();
  ASSERT_TRUE(wait([&] { return waits->closed; }));
  EXPECT_EQ(waits->in.size(), 500000u);
  EXPECT_TRUE(all_released());
}

// Answers after a streamed value keep their order.
TEST_F(LongValueTest, WritesAnswersInOrderAroundLongValues) {
  const std::string value = bytes_of(300000);
  LongHost host(io, [&](const std::string& line, const std::string& id) -> LongHost::Reply {
    return {answer(id, line.starts_with("mg long") ? value : "v")};
  });
  begin_with({&host});
  auto c = reader(64u << 10);
  c->send(get("k", "1") + get("long", "2") + get("k", "3") + get("long", "4") + get("k", "5"));
  c->read();
  const std::string want = answer("1", "v") + answer("2", value) + answer("3", "v") +
                           answer("4", value) + answer("5", "v");
  ASSERT_TRUE(wait([&] { return c->in.size() >= want.size() || c->closed; }));
  EXPECT_TRUE(c->in == want);
}

// A write whose body ends one byte short is not forwarded. If the client closes right after the
// complete body, the write may be executed, but at most once.
TEST_F(LongValueTest, ForwardsNoTruncatedLongWrite) {
  const std::string body = bytes_of(1000000);
  int puts = 0;
  std::size_t got = 0;
  Server origin(io, [&](Peer& p) {
    got = p.in.size();
    const auto end = p.in.find("\r\n\r\n");
    if (end == std::string::npos || p.in.size() < end + 4 + body.size()) return;
    ++puts;
    EXPECT_TRUE(p.in.substr(end + 4) == body);
    p.in.clear();
    p.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nr-1");
  });
  discovery.hosts = host_entry("o", origin.dial(), "origin");
  begin();
  const std::string head = "ms k " + std::to_string(body.size()) + " Ow1 Pc=book,t=acme,d=5000\r\n";
  auto cut = client();
  cut->send(head + body.substr(0, body.size() - 1));
  ASSERT_TRUE(wait([&] { return limits->bytes.used() >= body.size(); }));
  cut->close();
  ASSERT_TRUE(all_released());
  EXPECT_EQ(puts, 0);
  auto after = client();
  after->send(head + body + "\r\n");
  after->close();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 0; }));
  run_for(io, milliseconds(100));
  EXPECT_LE(puts, 1);
  const int before = puts;
  auto whole = client();
  whole->send(head.substr(0, head.find("w1")) + "w2" + head.substr(head.find("w1") + 2) + body +
              "\r\n");
  ASSERT_TRUE(wait([&] { return !whole->in.empty(); }));
  EXPECT_EQ(whole->in, "HD Ow2 cr-1\r\n");
  EXPECT_EQ(puts, before + 1);
}

}  // namespace
}  // namespace balancer::node

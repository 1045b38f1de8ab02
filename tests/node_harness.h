#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/balancer.h"

// Minimal clients, hosts and discovery services on loopback, on the test's own event loop.
namespace balancer::node {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Runs the loop until `done` holds. Returns false if it does not within `limit`. Restarts the loop
// if a balancer has stopped it after its drain, because the peers may still have data to read.
template <typename Done>
bool run_until(asio::io_context& io, Done&& done,
               std::chrono::seconds limit = std::chrono::seconds(30)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    if (io.stopped()) io.restart();
    io.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

inline void run_for(asio::io_context& io, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(5));
}

class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(tcp::socket s) : socket(std::move(s)) {
    boost::system::error_code ignored;  // without this, small answers would wait for each other
    socket.set_option(tcp::no_delay(true), ignored);
  }

  static std::shared_ptr<Peer> connect(asio::io_context& io, const Endpoint& to) {
    auto peer = std::make_shared<Peer>(tcp::socket(io));
    peer->socket.connect(to);
    peer->read();
    return peer;
  }
  void send(const std::string& text) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
    closed = true;
  }
  void read() {
    socket.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](auto e, auto n) {
      if (e) {
        self->closed = true;
        return;
      }
      self->in.append(self->chunk_, n);
      if (self->on_data) self->on_data(*self);
      self->read();
    });
  }
  // Removes the first complete line received and returns it; empty if there is none yet.
  std::string take_line() {
    const auto end = in.find("\r\n");
    if (end == std::string::npos) return {};
    std::string line = in.substr(0, end);
    in.erase(0, end + 2);
    return line;
  }

  tcp::socket socket;
  std::string in;
  bool closed = false;
  std::function<void(Peer&)> on_data;

 private:
  char chunk_[4096];
};

class Server {
 public:
  Server(asio::io_context& io, std::function<void(Peer&)> on_data)
      : acceptor_(io, Endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        on_data_(std::move(on_data)) {
    accept();
  }
  Endpoint local() const { return acceptor_.local_endpoint(); }
  std::string dial() const { return "127.0.0.1:" + std::to_string(local().port()); }

  std::vector<std::shared_ptr<Peer>> peers;

 private:
  void accept() {
    acceptor_.async_accept([this](auto e, tcp::socket s) {
      if (e) return;
      auto peer = std::make_shared<Peer>(std::move(s));
      peer->on_data = on_data_;
      peers.push_back(peer);
      peer->read();
      accept();
    });
  }

  tcp::acceptor acceptor_;
  std::function<void(Peer&)> on_data_;
};

// A discovery service that answers every call with `hosts` and every watch with no changes.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(asio::io_context& io)
      : server(io, [this](Peer& p) {
          for (auto end = p.in.find("\r\n\r\n"); end != std::string::npos;
               end = p.in.find("\r\n\r\n")) {
            ++calls;
            const bool watch = p.in.substr(0, end).find("index=") != std::string::npos;
            p.in.erase(0, end + 4);
            const std::string body = watch ? "{\"seq\":1,\"whole\":false,\"hosts\":[]}"
                                           : "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
            const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body;
            if (holds_answers) {
              held_.emplace_back(&p, answer);
            } else {
              p.send(answer);
            }
          }
        }) {}

  // Sends the answers that were held back.
  void answer_held() {
    for (const auto& [peer, answer] : std::exchange(held_, {})) peer->send(answer);
  }

  std::string hosts;
  int calls = 0;
  bool holds_answers = false;
  Server server;

 private:
  std::vector<std::pair<Peer*, std::string>> held_;  // from peers that stay connected
};

inline std::string host_entry(const std::string& id, const std::string& dial,
                              const std::string& kind = "std", const std::string& health = "ready",
                              std::int64_t born_ms = 0) {
  return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"class\":\"" + kind +
         "\",\"health\":\"" + health + "\",\"born_ms\":" + std::to_string(born_ms) + "}";
}

// A cache host that passes each complete command line to `answer` and sends the result.
class FakeCache {
 public:
  using Answer = std::function<std::string(const std::string& line, const std::string& id)>;

  FakeCache(asio::io_context& io, Answer answer)
      : server(io,
               [this](Peer& p) {
                 for (std::string line = p.take_line(); !line.empty(); line = p.take_line()) {
                   const auto at = line.find(" O") + 2;
                   ids.push_back(line.substr(at, line.find(' ', at) - at));
                   p.send(answer_(line, ids.back()));
                 }
               }),
        answer_(std::move(answer)) {}

  static std::string value(const std::string& id, const std::string& text) {
    return "VA " + std::to_string(text.size()) + " O" + id + "\r\n" + text + "\r\n";
  }

  std::vector<std::string> ids;  // of the commands received
  Server server;

 private:
  Answer answer_;
};

inline std::string test_settings() {
  return R"({"balancers":1,"classes":[
      {"name":"read","aim":2000000000,"giveUp":5000000000,"semantics":"read_like"},
      {"name":"book","aim":2000000000,"giveUp":5000000000,"semantics":"non_idempotent"}],
    "tenants":[{"name":"acme","quotaPerS":1000}],"localities":["a"],"kinds":["std","origin"],
    "specifics":{"mode":"aside","originKind":1},"discovery":"pushed",
    "policyLimits":{"secondCopies":true,"maxAttempts":6,"connectTimeout":1000000000,
      "connIdle":15000000000,"streamsPerConn":32,"mostHeld":1000}})";
}

inline Config test_config(const Endpoint& discovery) {
  simdjson::dom::parser parser;
  Config config;
  config.name = "test";
  config.listen = Endpoint(asio::ip::make_address("127.0.0.1"), 0);
  config.discovery = discovery;
  config.seed = 1;
  config.sockets = 256;
  config.memory_mb = 32;
  const std::string text = test_settings();
  config.site = read_settings(parser.parse(text).get_object());
  return config;
}

// A balancer on the test's event loop, and its peers.
class NodeTest : public ::testing::Test {
 protected:
  void begin() {
    limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
    balancer = std::make_unique<Balancer>(io, config, *limits);
    ASSERT_TRUE(run_until(io, [&] { return discovery.calls > 1; }));
  }
  std::shared_ptr<Peer> client() { return Peer::connect(io, balancer->local()); }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition was not met in time";
  }
  static std::string get(const std::string& key, const std::string& id) {
    return "mg " + key + " v O" + id + " Pc=read,t=acme,d=5000\r\n";
  }

  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  FakeDiscovery discovery{io};
  Config config = test_config(discovery.server.local());
  std::unique_ptr<Balancer> balancer;
};

}  // namespace balancer::node

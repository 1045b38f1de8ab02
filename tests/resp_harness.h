#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node_harness.h"
#include "proto/resp.h"
#include "testbed/servers/resp_cluster.h"

// RESP clients, a balancer and an emulated cluster in the same process and event loop.
namespace balancer::node {

using Words = std::vector<std::string>;

inline std::string wire(const Words& words) {
  resp::Command c;
  for (const auto& w : words) c.push_back(w);
  return c.wire();
}

class RespClient {
 public:
  RespClient(asio::io_context& io, const Endpoint& to) : io_(io), peer_(Peer::connect(io, to)) {
    peer_->on_data = [this](Peer& p) { split(p); };
  }
  explicit RespClient(asio::io_context& io, const std::string& address)
      : RespClient(io, *parse_endpoint(address)) {}
  ~RespClient() {
    peer_->on_data = nullptr;
    peer_->close();
  }

  void send(const std::string& bytes) { peer_->send(bytes); }
  // Sends one command and returns the reply; empty if none arrives.
  std::string send_and_receive(const Words& words) {
    send(wire(words));
    return next();
  }
  std::string next() {
    if (!run_until(io_, [this] { return !replies.empty() || peer_->closed; }) || replies.empty())
      return {};
    std::string reply = replies.front();
    replies.pop_front();
    return reply;
  }
  bool closed() const { return peer_->closed; }
  Peer& peer() { return *peer_; }

  std::deque<std::string> replies;

 private:
  void split(Peer& p) {
    std::string_view input = p.in;
    while (true) {
      const auto event = reader_.next(input);
      if (event == resp::ReplyReader::Event::kMore) break;
      ASSERT_NE(event, resp::ReplyReader::Event::kMalformed);
      if (event == resp::ReplyReader::Event::kData) {
        current_ += reader_.data();
      } else {
        replies.push_back(std::exchange(current_, {}));
      }
    }
    p.in.clear();
  }

  asio::io_context& io_;
  std::shared_ptr<Peer> peer_;
  resp::ReplyReader reader_{resp::InputLimits{
      .bulk = 8u << 20, .elements = 1u << 20, .total = 64u << 20, .line = 64u << 10}};
  std::string current_;
};

class RespNodeTest : public ::testing::Test {
 protected:
  using RespCluster = testbed::RespCluster;
  using Fault = RespCluster::Fault;

  void start_cluster(int primaries = 3, int replicas = 0, const std::string& pool = "",
                     const std::string& listener = "", Duration replica_lag = Duration{0}) {
    cluster = std::make_unique<RespCluster>(io, primaries, replicas, replica_lag);
    std::string seeds;
    for (const auto& a : cluster->addresses()) seeds += (seeds.empty() ? "\"" : ", \"") + a + "\"";
    OperatorSettings added = parse_operator(
        "[[pool]]\nname = \"history\"\nseeds = [" + seeds + "]\n" +
            (pool.find("refresh_interval_ms") == std::string::npos ? "refresh_interval_ms = 20\n"
                                                                   : "") +
            pool +
            "\n[[listener]]\nname = \"resp\"\naddress = \"127.0.0.1:0\"\npool = \"history\"\n" +
            listener,
        "test.toml");
    limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
    balancer = std::make_unique<Balancer>(io, config, *limits, std::move(added));
    ASSERT_TRUE(run_until(io, [&] {
      return balancer->cluster_pool(0).router().table().assigned() == cluster::kSlots;
    }));
  }
  std::unique_ptr<RespClient> client() {
    return std::make_unique<RespClient>(io, balancer->local(0));
  }
  const cluster::Router& router() { return balancer->cluster_pool(0).router(); }
  std::vector<int> owners() const {
    std::vector<int> all;
    for (std::uint32_t s = 0; s < cluster::kSlots; ++s) {
      const int o = cluster->owner(static_cast<cluster::Slot>(s));
      if (std::find(all.begin(), all.end(), o) == all.end()) all.push_back(o);
    }
    return all;
  }
  // Returns how many writes with this argument ran.
  int count_runs(const std::string& argument) const {
    int n = 0;
    for (const auto& r : cluster->runs()) n += r.argument == argument;
    return n;
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition did not become true in time";
  }

  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  FakeDiscovery discovery{io};
  Config config = test_config(discovery.server.local());
  std::unique_ptr<RespCluster> cluster;
  std::unique_ptr<Balancer> balancer;
};

}  // namespace balancer::node

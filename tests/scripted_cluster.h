#pragma once

#include <functional>
#include <memory>
#include <string>

#include "resp_harness.h"
#include "scripted_node.h"

namespace balancer::node {

// A balancer in front of two RESP nodes whose replies are chosen by the test. Node `a` owns all
// slots at first.
class ScriptedClusterTest : public ::testing::Test {
 protected:
  // Starts the balancer and waits until it knows the slots. `pool_settings`: further lines of the
  // pool's table, followed by the tables of its classes.
  void start(const std::string& pool_settings) {
    OperatorSettings added = parse_operator(
        "[[pool]]\nname = \"p\"\nseeds = [\"" + a.server.dial() + "\"]\n" + pool_settings +
            "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\npool = \"p\"\n",
        "test.toml");
    limits = std::make_unique<Limits>(config.sockets, config.memory_mb);
    balancer = std::make_unique<Balancer>(io, config, *limits, std::move(added));
    EXPECT_TRUE(wait([&] { return router().table().assigned() == cluster::kSlots; }));
  }
  const cluster::Router& router() { return balancer->cluster_pool(0).router(); }
  std::unique_ptr<RespClient> client() {
    return std::make_unique<RespClient>(io, balancer->local(0));
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "condition not reached in time";
  }

  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  FakeDiscovery discovery{io};
  Config config = test_config(discovery.server.local());
  ScriptedNode a{io}, b{io};
  std::unique_ptr<Balancer> balancer;
};

}  // namespace balancer::node

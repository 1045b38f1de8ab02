// Connections that are reset while they wait in the backlog: accept() fails with ECONNABORTED, and
// no further connection is waiting. Guards against an event loop that blocks in accept() until the
// next client connects, while established clients get no answers.
#include "program_harness.h"

namespace balancer::node {
namespace {

class AcceptFaultTest : public ProcessTest {};

TEST_F(AcceptFaultTest, ServesOtherClientsAfterAnAbortedConnection) {
  FakeCache cache(io, [](const auto&, const auto& id) { return FakeCache::value(id, "v"); });
  discovery.hosts = host_entry("h", cache.server.dial());
  faults = "aborted_accepts=3";
  make_processes(1);
  bool ready = false;
  processes.front()->start([&ready] { ready = true; });
  ASSERT_TRUE(wait([&] { return ready && discovery.watches > 0; }, std::chrono::seconds(5)));
  auto c = client();
  c->send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
  EXPECT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }, std::chrono::seconds(5)));
}

}  // namespace
}  // namespace balancer::node

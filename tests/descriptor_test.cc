// Idle clients use up the client descriptors of a process with a low limit while discovery is
// unavailable. Once discovery is back, the endpoint list must still be fetched within 6 s, and
// hosts reached and requests served.
#include <sys/socket.h>

#include "program_harness.h"

namespace balancer::node {
namespace {

// Guards against an old process that can no longer read the answers to its last requests in an
// upgrade, because its share of the memory has become small.
TEST(LimitsTest, LeavesMemoryForAnswersToAProcessWithASmallShare) {
  Limits limits(256, 4096);
  limits.watch_resident_memory();
  limits.set_process_share(100, 1u << 20, false);
  EXPECT_TRUE(limits.has_memory(MemoryUse::kAnswer, 64u << 10));
  EXPECT_FALSE(limits.has_memory(MemoryUse::kAnswer, 2u << 20));
}

using State = SwitchableDiscovery::State;

constexpr int kDescriptors = 256;
constexpr std::size_t kIdleClients = 400;  // more clients than the process has descriptors
constexpr std::chrono::seconds kMaxFetchTime{6};

// Parameter: how discovery is unavailable.
class DescriptorTest : public ProcessTest, public ::testing::WithParamInterface<State> {
 protected:
  // Reconnects each idle client whose connection was closed.
  void reconnect_closed_clients() {
    for (auto& idle : idle_clients_) {
      if (!idle->closed) continue;
      idle = client();
      ++reconnects_;
    }
  }
  ::testing::AssertionResult wait_with_idle_clients(
      const std::function<bool()>& done, std::chrono::seconds limit = std::chrono::seconds(30)) {
    return wait(
        [&] {
          reconnect_closed_clients();
          return done();
        },
        limit);
  }
  // Expects that a new client's request is served by the host `by`, with exactly one attempt.
  void expect_served(const std::string& id, FakeCache& by) {
    const auto before = by.ids.size();
    auto c = client();
    c->send("mg k v O" + id + " Pc=read,t=acme,d=5000\r\n");
    EXPECT_TRUE(
        wait_with_idle_clients([&] { return c->in == FakeCache::value(id, "v"); }, kMaxFetchTime))
        << c->in;
    EXPECT_EQ(by.ids.size(), before + 1);
  }
  int open_descriptors() {
    processes[0]->sample();
    return processes[0]->figures().samples.back().descriptors;
  }

  std::vector<std::shared_ptr<Peer>> idle_clients_;
  int reconnects_ = 0;
};
INSTANTIATE_TEST_SUITE_P(Kinds, DescriptorTest,
                         ::testing::Values(State::kSilent, State::kResetting));

TEST_P(DescriptorTest, FetchesAChangedListWhileClientsTakeAllDescriptors) {
  const auto answer = [](const auto&, const auto& id) { return FakeCache::value(id, "v"); };
  FakeCache before(io, answer), after(io, answer);
  discovery.hosts = host_entry("h1", before.server.dial());
  sockets = kDescriptors;
  make_processes(1);
  bool ready = false;
  {
    const DescriptorLimit few(kDescriptors);
    processes[0]->start([&] { ready = true; });
  }
  ASSERT_TRUE(wait([&] { return ready && discovery.watches > 0; }));
  discovery.set(GetParam());
  while (idle_clients_.size() < kIdleClients) idle_clients_.push_back(client());
  ASSERT_TRUE(wait_with_idle_clients([&] { return open_descriptors() > kDescriptors / 2; }));
  expect_served("1", before);
  int max_descriptors = 0;
  const Time fill_end = context.now() + std::chrono::milliseconds(2500);
  ASSERT_TRUE(wait_with_idle_clients([&] {
    max_descriptors = std::max(max_descriptors, open_descriptors());
    return context.now() > fill_end;
  }));

  discovery.hosts = host_entry("h2", after.server.dial());
  discovery.set(State::kUp);
  const int calls = discovery.answered;
  const Time back = context.now();
  ASSERT_TRUE(wait_with_idle_clients([&] { return discovery.answered > calls; }, kMaxFetchTime));
  const double fetched = seconds(context.now() - back);
  const int watches = discovery.watches;
  ASSERT_TRUE(wait_with_idle_clients([&] { return discovery.watches > watches; }, kMaxFetchTime));
  expect_served("2", after);
  EXPECT_EQ(after.server.peers.size(), 1u);
  std::printf(
      "%zu idle clients (%d reconnected), up to %d of %d descriptors open; fetch took %.2f s\n",
      idle_clients_.size(), reconnects_, max_descriptors, kDescriptors, fetched);
}

}  // namespace
}  // namespace balancer::node

// Idle clients come until a process with few descriptors takes no more, while discovery is away: on
// its return the list is still fetched within 6 s, hosts are reached and requests served.
#include <sys/socket.h>

#include "program_harness.h"

namespace balancer::node {
namespace {

using State = SwitchableDiscovery::State;

constexpr int kDescriptors = 256;
constexpr std::size_t kCrowd = 400;  // more than the process may hold
constexpr std::chrono::seconds kListWithin{6};

// The parameter: how discovery is away.
class DescriptorTest : public ProcessTest, public ::testing::WithParamInterface<State> {
 protected:
  // Each idle client whose connection was ended comes again.
  void keep_crowd() {
    for (auto& idle : crowd_) {
      if (!idle->closed) continue;
      idle = client();
      ++came_again_;
    }
  }
  ::testing::AssertionResult wait_in_crowd(const std::function<bool()>& done,
                                           std::chrono::seconds limit = std::chrono::seconds(30)) {
    return wait(
        [&] {
          keep_crowd();
          return done();
        },
        limit);
  }
  // A new client is served by that host, over a connection that the host has not had before.
  void expect_served(const std::string& id, FakeCache& by) {
    const auto before = by.ids.size();
    auto c = client();
    c->send("mg k v O" + id + " Pc=read,t=acme,d=5000\r\n");
    EXPECT_TRUE(wait_in_crowd([&] { return c->in == FakeCache::value(id, "v"); }, kListWithin))
        << c->in;
    EXPECT_EQ(by.ids.size(), before + 1);
  }
  int open_descriptors() {
    processes[0]->sample();
    return processes[0]->figures().samples.back().descriptors;
  }

  std::vector<std::shared_ptr<Peer>> crowd_;
  int came_again_ = 0;
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
  while (crowd_.size() < kCrowd) crowd_.push_back(client());
  ASSERT_TRUE(wait_in_crowd([&] { return open_descriptors() > kDescriptors / 2; }));
  expect_served("1", before);
  int most = 0;
  const Time fills_until = context.now() + std::chrono::milliseconds(2500);
  ASSERT_TRUE(wait_in_crowd([&] {
    most = std::max(most, open_descriptors());
    return context.now() > fills_until;
  }));

  discovery.hosts = host_entry("h2", after.server.dial());
  discovery.set(State::kUp);
  const int calls = discovery.answered;
  const Time back = context.now();
  ASSERT_TRUE(wait_in_crowd([&] { return discovery.answered > calls; }, kListWithin));
  const double fetched = seconds(context.now() - back);
  const int watches = discovery.watches;
  ASSERT_TRUE(wait_in_crowd([&] { return discovery.watches > watches; }, kListWithin));
  expect_served("2", after);
  EXPECT_EQ(after.server.peers.size(), 1u);
  std::printf("%zu idle clients (%d came again), up to %d of %d descriptors open; list in %.2f s\n",
              crowd_.size(), came_again_, most, kDescriptors, fetched);
}

}  // namespace
}  // namespace balancer::node

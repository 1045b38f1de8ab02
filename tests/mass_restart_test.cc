// 60 processes are killed together and restarted: nine in ten are ready within 10 s, whether or not
// discovery is available and whether endpoint lists are pushed or polled.
#include <signal.h>

#include "program_harness.h"

namespace balancer::node {
namespace {

using State = SwitchableDiscovery::State;

constexpr int kProcesses = 60;
constexpr std::size_t kMinReady = kProcesses * 9 / 10;
constexpr std::chrono::seconds kReadyWithin{10};

struct Restart {
  const char* name;
  const char* lists;  // value of the "discovery" setting
  State discovery;
};

class MassRestartTest : public ProcessTest, public ::testing::WithParamInterface<Restart> {
 protected:
  // Starts all processes together. Returns how many answered `mn` within kReadyWithin.
  std::size_t start_all() {
    ready.clear();
    const Time from = context.now();
    for (const auto& p : processes)
      p->start([this, from] { ready.push_back(seconds(context.now() - from)); });
    run_until(
        io, [&] { return ready.size() == processes.size(); }, kReadyWithin);
    std::printf("%zu of %d ready", ready.size(), kProcesses);
    for (const double part : {0.5, 0.9, 1.0})
      if (const auto at = static_cast<std::size_t>(part * kProcesses); ready.size() >= at)
        std::printf(", %.0f%% in %.2f s", 100 * part, ready[at - 1]);
    std::printf("\n");
    if (ready.size() < processes.size())
      for (const auto& p : processes)
        if (!p->running())
          std::printf("%s ended: %s", p->name().c_str(), p->last_log_lines().c_str());
    return ready.size();
  }
  void kill_all() {
    for (const auto& p : processes) p->signal(SIGKILL);
    ASSERT_TRUE(wait([&] {
      return std::none_of(processes.begin(), processes.end(),
                          [](const auto& p) { return p->running(); });
    }));
  }

  std::vector<double> ready;  // seconds until each process answered, ascending
};
INSTANTIATE_TEST_SUITE_P(Kinds, MassRestartTest,
                         ::testing::Values(Restart{"PushedAndUp", "pushed", State::kUp},
                                           Restart{"PushedAndSilent", "pushed", State::kSilent},
                                           Restart{"PolledAndUp", "on_request", State::kUp},
                                           Restart{"PolledAndDown", "on_request",
                                                   State::kResetting}),
                         [](const auto& i) { return i.param.name; });

TEST_P(MassRestartTest, NineInTenProcessesServeInTime) {
  FakeCache cache(io, [](const auto&, const auto& id) { return FakeCache::value(id, "v"); });
  discovery.hosts = known = host_entry("h", cache.server.dial());
  const std::string pushed = "\"discovery\":\"pushed\"";
  settings.replace(settings.find(pushed), pushed.size(),
                   std::string("\"discovery\":\"") + GetParam().lists + "\"");
  make_processes(kProcesses);
  EXPECT_GE(start_all(), kMinReady);
  kill_all();
  discovery.set(GetParam().discovery);
  EXPECT_GE(start_all(), kMinReady);
  // A ready process actually serves requests, using the known endpoint list.
  auto c = client();
  c->send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
  EXPECT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); })) << c->in;
  kill_all();
}

}  // namespace
}  // namespace balancer::node

// Slow start of a cache host while the balancer's wall clock is wrong. The host's age determines
// its share of the requests and must not be computed from that clock.
#include "program_harness.h"

namespace balancer::node {
namespace {

constexpr int kKeys = 200;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class WallClockTest : public ProcessTest {
 protected:
  // Starts a balancer with two hosts, of which one has just started.
  void begin(std::int64_t wall_step_s, const std::string& warm_after_ns) {
    faults = "wall_step_s=" + std::to_string(wall_step_s);
    settings.insert(settings.rfind('}'),
                    ",\"rules\":{\"startCapacity\":0.01,\"warmAfter\":" + warm_after_ns + "}");
    discovery.hosts = host_entry("old", old_host.server.dial()) + "," +
                      host_entry("new", new_host.server.dial(), "std", "ready", unix_ms());
    make_processes(1);
    bool ready = false;
    processes.front()->start([&ready] { ready = true; });
    ASSERT_TRUE(wait([&] { return ready && discovery.watches > 0; }));
  }
  // Requests each key once and returns the fraction of the requests that the new host receives.
  double fraction_at_new_host() {
    const std::size_t before = new_host.ids.size();
    const auto c = client();
    for (int key = 0; key < kKeys; ++key) {
      c->in.clear();
      c->send("mg key-" + std::to_string(key) + " v O" + std::to_string(++last_id) +
              " Pc=read,t=acme,d=5000\r\n");
      EXPECT_TRUE(wait([&] { return c->in.ends_with("v\r\n"); })) << c->in;
    }
    return static_cast<double>(new_host.ids.size() - before) / kKeys;
  }

  static std::string serve(const std::string&, const std::string& id) {
    return FakeCache::value(id, "v");
  }
  FakeCache old_host{io, serve}, new_host{io, serve};
  int last_id = 0;
};

TEST_F(WallClockTest, LimitsANewHostWithAClockOneHourAhead) {
  begin(3600, "600000000000");
  EXPECT_LT(fraction_at_new_host(), 0.2);
}

TEST_F(WallClockTest, CompletesSlowStartWithAClockOneHourBehind) {
  begin(-3600, "1000000000");
  run_for(io, std::chrono::milliseconds(1500));
  EXPECT_GT(fraction_at_new_host(), 0.3);
}

TEST_F(WallClockTest, LimitsANewHostWithACorrectClock) {
  begin(0, "600000000000");
  EXPECT_LT(fraction_at_new_host(), 0.2);
}

}  // namespace
}  // namespace balancer::node

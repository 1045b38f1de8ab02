// Load of cold hosts, summed over all balancers of a fleet.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "fleet_simulation/plant.h"

namespace balancer::fleet_simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

testbed::HostSpec cold_spec() {
  testbed::HostSpec spec;
  spec.cores = 2;
  spec.cold_share = 0.1;
  spec.cold_time = seconds(10);
  spec.tip_multiple = 2;
  spec.tip_time = seconds(1);
  return spec;
}

testbed::Scenario one_class() {
  return testbed::parse_scenario(R"(
name = "cold"
[[class]]
name = "read"
work_ms = 10
[[tenant]]
name = "t"
[[kind]]
name = "k"
)",
                                 "cold.toml");
}

TEST(ColdLoadsTest, ComparesSumOverBalancersWithBound) {
  const testbed::Scenario scenario = one_class();
  testbed::ColdLoads loads(scenario);
  loads.on_start(seconds(0), 3, "h3", cold_spec());
  // N: 2 x 2 cores x 0.1 x 1 s / 10 ms = 40; the bound is 40 + 2 x 6.32 + 2 = 54.6.
  for (int i = 0; i < 54; ++i) EXPECT_FALSE(loads.on_request(milliseconds(i), 3, 0.01, 0.1, i % 9));
  EXPECT_TRUE(loads.on_request(milliseconds(54), 3, 0.01, 0.1, 8));
  EXPECT_FALSE(loads.on_request(milliseconds(55), 3, 0.01, 0.1, 8))
      << "an excess must be reported only once";
  ASSERT_EQ(loads.peaks().size(), 1u);
  EXPECT_NEAR(loads.peaks()[0].requests, 56, 1e-6);
  EXPECT_NEAR(loads.peaks()[0].budget, 40, 1e-6);
  EXPECT_NEAR(loads.peaks()[0].bound(), 54.649, 1e-3);
  EXPECT_NEAR(loads.by_balancer(3)[8], 0.08, 1e-9);
}

TEST(ColdLoadsTest, IgnoresLoadBeforeWindowAndOfWarmHosts) {
  const testbed::Scenario scenario = one_class();
  testbed::ColdLoads loads(scenario);
  EXPECT_FALSE(loads.on_request(seconds(0), 3, 1, 0.1, 0)) << "no host has started cold yet";
  loads.on_start(seconds(0), 3, "h3", cold_spec());
  for (int i = 0; i < 54; ++i) loads.on_request(milliseconds(i), 3, 0.01, 0.1, 0);
  EXPECT_FALSE(loads.on_request(milliseconds(1054), 3, 0.01, 0.1, 0));
  EXPECT_FALSE(loads.on_request(seconds(11), 3, 100, 1, 0));
  loads.on_start(seconds(12), 3, "h3", cold_spec());
  EXPECT_TRUE(loads.on_request(seconds(12), 3, 1, 0.1, 0))
      << "each start must be counted separately";
  EXPECT_EQ(loads.peaks().size(), 2u);
}

// ---- 20 to 30 real policies under one simulated clock

constexpr int kHosts = 12;

struct Deployment {
  const char* name;
  double rate = 400, work_ms = 30;
  double tip_multiple = 2, tip_s = 1, cold_share = 0.16, cold_s = 12;
  double zipf = 1.0, drift_per_s = 0, unevenness = 1.0;
  // All hosts but one are lost at once and restart cold one after another.
  bool max_hosts_lost = false;
};

void PrintTo(const Deployment& d, std::ostream* out) { *out << d.name; }

// Some hosts join cold and others restart cold, during increased demand.
const char kJoinAndReturn[] = R"(
[[incident]]
what = "restart"
at_s = 0.5
for_s = 4
share = 0.25
stagger_s = 0.2
[[incident]]
what = "restart"
at_s = 5.5
for_s = 0.8
share = 0.25
)";

std::string all_but_one_lost() {
  std::string text;
  for (int h = 1; h < kHosts; ++h)
    text += "[[incident]]\nwhat = \"restart\"\nat_s = 2\nhost = \"h" + std::to_string(h) +
            "\"\nfor_s = " + std::to_string(1 + 0.7 * h) + "\n";
  return text;
}

testbed::Scenario cold_fleet(const Deployment& d, std::uint64_t seed) {
  char text[4096];
  std::snprintf(text, sizeof text, R"(
name = "cold-fleet-%s"
seed = %llu
length_s = 13
warm_up_s = 2
[balancers]
count = %d
[[class]]
name = "read"
share = 92
work_ms = %g
cv = 0.8
hint_noise = 0.3
aim_ms = 300
deadline_ms = 750
[[class]]
name = "save"
share = 8
effect = "unsafe"
work_ms = 40
aim_ms = 1500
deadline_ms = 3000
[[tenant]]
name = "t"
[[kind]]
name = "std"
count = %d
speed = [0.55, 1.1]
cold_share = %g
cold_s = %g
tip_multiple = %g
tip_s = %g
[origin]
cores = 16
slots = 60
read_ms = 20
[load]
rate = %g
keys = 20000
zipf = %g
drift_per_s = %g
retries = 2
[discovery]
delay_ms = [200, 900]
[[incident]]
what = "demand"
at_s = 4
for_s = 6
factor = 1.5
)",
                d.name, static_cast<unsigned long long>(seed), 20 + static_cast<int>(seed % 11),
                d.work_ms, kHosts, d.cold_share, d.cold_s, d.tip_multiple, d.tip_s, d.rate, d.zipf,
                d.drift_per_s);
  return testbed::parse_scenario(text + (d.max_hosts_lost ? all_but_one_lost() : kJoinAndReturn),
                                 "cold_fleet.toml");
}

// Runs the deployment, prints the peak load window of each cold start with its bound, and returns
// the number of starts that exceeded their bounds.
int starts_over_bound(const Deployment& d, std::uint64_t seed, bool ignores_warmth) {
  const testbed::Scenario scenario = cold_fleet(d, seed);
  Options options;
  options.unevenness = d.unevenness;
  options.ignores_warmth = ignores_warmth;
  Plant plant(scenario, options);
  plant.run();
  const auto& reads = plant.tally().classes()[0];
  std::printf("%s seed %llu, %d balancers, reads served %.3f:", d.name,
              static_cast<unsigned long long>(seed), scenario.balancers,
              reads.worth_served / reads.worth_asked);
  int over = 0;
  for (const auto& peak : plant.cold_loads().peaks()) {
    if (peak.requests == 0) continue;  // stopped again immediately
    std::printf(" %s %.0f/%.0f", peak.host.c_str(), peak.requests, peak.bound());
    over += peak.requests > peak.bound();
  }
  std::printf("\n");
  return over;
}

struct ColdFleetTest : testing::TestWithParam<Deployment> {};

TEST_P(ColdFleetTest, SlowStartKeepsFleetWithinBounds) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed)
    EXPECT_EQ(starts_over_bound(GetParam(), seed, false), 0) << "seed " << seed;
}

// Guards the test above: in each deployment, balancers that treat cold hosts as warm exceed the
// bounds.
TEST_P(ColdFleetTest, DetectsIgnoredSlowStart) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    EXPECT_GT(starts_over_bound(GetParam(), seed, true), 0) << "seed " << seed;
}

INSTANTIATE_TEST_SUITE_P(
    Deployments, ColdFleetTest,
    testing::Values(
        Deployment{.name = "joining_and_returning"},
        Deployment{.name = "very_short_window", .work_ms = 40, .tip_s = 0.3},
        Deployment{
            .name = "hot_keys", .tip_s = 0.5, .zipf = 1.6, .drift_per_s = 20, .unevenness = 1.5},
        Deployment{
            .name = "most_hosts_lost", .cold_share = 0.1, .cold_s = 22, .max_hosts_lost = true}),
    [](const auto& d) { return std::string(d.param.name); });

}  // namespace
}  // namespace balancer::fleet_simulation

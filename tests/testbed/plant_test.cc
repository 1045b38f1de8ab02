#include "fleet_simulation/plant.h"

#include <gtest/gtest.h>

#include <cmath>
#include <ostream>
#include <stdexcept>
#include <string>

#include "fleet_simulation/tables.h"
#include "testbed/audit/service.h"

namespace balancer::fleet_simulation {
namespace {

using std::chrono::seconds;

testbed::Scenario scenario(const std::string& incidents, int balancers = 3) {
  return testbed::parse_scenario(R"(
name = "plant"
length_s = 16
warm_up_s = 2
[balancers]
count = )" + std::to_string(balancers) +
                                     R"(
[[class]]
name = "read"
share = 90
work_ms = 20
aim_ms = 300
deadline_ms = 750
[[class]]
name = "save"
share = 10
effect = "unsafe"
work_ms = 40
aim_ms = 1500
deadline_ms = 3000
[[tenant]]
name = "t"
[[kind]]
name = "std"
count = 4
speed = [0.8, 1.2]
cold_s = 5
[origin]
cores = 4
slots = 20
[load]
rate = 150
keys = 2000
retries = 2
[discovery]
delay_ms = [100, 400]
)" + incidents,
                                 "plant.toml");
}

const char kFaultIncidents[] = R"(
[[incident]]
what = "flush"
at_s = 4
[[incident]]
what = "balancer-kill"
at_s = 6
for_s = 1
share = 0.6
[[incident]]
what = "restart"
at_s = 8
share = 0.5
[[incident]]
what = "hang"
host = "origin"
at_s = 10
for_s = 1
[[incident]]
what = "slow"
factor = 3
at_s = 12
for_s = 2
)";

// A failing run can be reproduced from its seed.
TEST(PlantTest, SameSeedGivesSameResult) {
  const testbed::Scenario s = scenario(kFaultIncidents);
  EXPECT_EQ(table(s, {}), table(s, {}));
  testbed::Scenario other = s;
  other.seed = 2;
  EXPECT_NE(table(s, {}), table(other, {}));
}

// Each try that a balancer received gets one answer, or its balancer was killed.
TEST(PlantTest, EveryTryHasOneAnswerDespiteFaults) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    testbed::Scenario s = scenario(kFaultIncidents, 1 + static_cast<int>(seed) * 3);
    s.seed = seed;
    Plant plant(s, {});
    plant.run();
    EXPECT_GT(plant.tries(), 2000u);
    EXPECT_EQ(plant.answers() + plant.excused(), plant.tries());
    EXPECT_GT(plant.excused(), 0u);
    std::uint64_t asked = 0, ended = 0;
    for (const auto& second : plant.tally().by_second()) {
      asked += second.asked;
      for (const auto n : second.ends) ended += n;
    }
    EXPECT_EQ(asked, ended);
    EXPECT_EQ(plant.fallen(), 0);
  }
}

TEST(PlantTest, KeepsHeldAdmitFraction) {
  const testbed::Scenario s = scenario(kFaultIncidents);
  Options options;
  options.fixed_origin_admit_fraction = 0.25;
  Plant plant(s, options);
  plant.run();
  // The fraction is restored every 10 ms, and may have moved a little when it is sampled.
  double off = 0;
  for (const Sample& sample : plant.samples()) off += std::abs(sample.origin_admit_fraction - 0.25);
  EXPECT_LT(off / static_cast<double>(plant.samples().size()), 0.05);
}

TEST(PlantTest, RejectsUnsupportedIncidents) {
  const testbed::Scenario s =
      scenario("[[incident]]\nwhat = \"discovery-down\"\nat_s = 1\nfor_s = 1\n");
  EXPECT_THROW(Plant(s, {}), std::invalid_argument);
}

// ---- control loops under severe faults: the fleet of caches-lost, twelve balancers, one seed each

struct FaultCase {
  const char* name;
  const char* incidents;
  int over;      // s at which the last incident has ended
  double first;  // lower bound of the mean worth over the five seconds from 10 s on
  double again;  // lower bound of the mean worth over the last ten seconds
};

void PrintTo(const FaultCase& t, std::ostream* out) { *out << t.name; }

struct LoopsTest : testing::TestWithParam<FaultCase> {};

TEST_P(LoopsTest, RecoverWithoutStarvingWrites) {
  testbed::Scenario s = testbed::load_scenario(BALANCER_SCENARIOS "/caches-lost.toml");
  s.incidents = testbed::parse_scenario(
                    "name = \"t\"\n[[class]]\nname = \"c\"\n[[tenant]]\nname = \"t\"\n"
                    "[[kind]]\nname = \"k\"\n" +
                        std::string(GetParam().incidents),
                    "incidents")
                    .incidents;
  s.length = seconds(GetParam().over + 25);
  Plant plant(s, {});
  plant.run();
  const auto worth = testbed::worth_by_second(plant.tally().by_second());
  const auto mean = [&](int from, int to) {
    double sum = 0;
    for (int t = from; t < to; ++t) sum += worth[static_cast<std::size_t>(t)];
    return sum / (to - from);
  };
  EXPECT_GT(mean(10, 15), GetParam().first);
  EXPECT_GT(mean(GetParam().over + 15, GetParam().over + 25), GetParam().again);
  for (std::size_t c = 1; c < s.classes.size(); ++c) {
    const auto& writes = plant.tally().classes()[c];
    EXPECT_GT(writes.worth_served, 0.9 * writes.worth_asked) << s.classes[c].name;
  }
  EXPECT_EQ(plant.fallen(), 0);
  EXPECT_EQ(plant.answers() + plant.excused(), plant.tries());
}

const FaultCase kFaultCases[] = {
    {"CachesLostTwice",
     "[[incident]]\nwhat = \"flush\"\nat_s = 10\n[[incident]]\nwhat = \"flush\"\nat_s = 14\n", 14,
     0.5, 0.8},
    {"HalfOfTheBalancersBlank",
     "[[incident]]\nwhat = \"flush\"\nat_s = 10\n"
     "[[incident]]\nwhat = \"balancer-kill\"\nat_s = 10\nfor_s = 1\nshare = 0.5\n",
     11, 0.4, 0.8},
    {"OriginHung", "[[incident]]\nwhat = \"hang\"\nhost = \"origin\"\nat_s = 10\nfor_s = 3\n", 13,
     0.3, 0.85},
    {"OriginTwiceAsSlow",
     "[[incident]]\nwhat = \"slow\"\nhost = \"origin\"\nat_s = 10\nfor_s = 10\nfactor = 2\n", 20,
     0.4, 0.8},
    {"OriginFourTimesAsFast",
     "[[incident]]\nwhat = \"flush\"\nat_s = 9\n"
     "[[incident]]\nwhat = \"slow\"\nhost = \"origin\"\nat_s = 10\nfor_s = 40\nfactor = 0.25\n",
     10, 0.6, 0.93},
};
INSTANTIATE_TEST_SUITE_P(Plant, LoopsTest, testing::ValuesIn(kFaultCases),
                         [](const auto& one) { return std::string(one.param.name); });

// ---- the cost of a fault, computed from given figures

std::vector<double> worth(std::initializer_list<std::pair<int, double>> spans) {
  std::vector<double> all;
  for (const auto& [n, w] : spans) all.insert(all.end(), static_cast<std::size_t>(n), w);
  return all;
}

TEST(ServiceTest, IsFullFromTheTimeItStaysFull) {
  const auto dip = worth({{20, 0.95}, {4, 0.5}, {30, 0.94}});
  const testbed::Service s = testbed::service_after(dip, 2, 20, 54);
  EXPECT_DOUBLE_EQ(s.before, 0.95);
  EXPECT_DOUBLE_EQ(s.worst, 0.5);
  EXPECT_EQ(s.full_after, 4);
  EXPECT_NEAR(s.area, 4 * (1 - 0.5 / 0.95) + 30 * (1 - 0.94 / 0.95), 1e-9);
  EXPECT_NEAR(s.first_five, (4 * 0.5 + 0.94) / 5, 1e-9);
}

TEST(ServiceTest, IsNotFullIfItDropsAgain) {
  const auto swings = worth({{20, 0.95}, {4, 0.5}, {5, 0.95}, {2, 0.8}, {20, 0.95}});
  EXPECT_EQ(testbed::service_after(swings, 2, 20, 51).full_after, 11);
  const auto never = worth({{20, 0.95}, {20, 0.9}});
  EXPECT_EQ(testbed::service_after(never, 2, 20, 40).full_after, std::nullopt);
  EXPECT_EQ(testbed::service_after(never, 2, 50, 40).full_after, std::nullopt);
  EXPECT_NEAR(testbed::swing(worth({{10, 0.9}, {10, 0.5}, {10, 0.7}}), 10, 30), 0.2, 1e-9);
}

}  // namespace
}  // namespace balancer::fleet_simulation

// Changes to many members under the simulated clock: ordinary times, and what goes wrong.
#include "dissemination_sim.h"

#include <gtest/gtest.h>

namespace silverpin::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Channel kPurge = Channel::kPurge;
constexpr Channel kConfiguration = Channel::kConfiguration;

class DisseminationSimTest : public ::testing::Test {
 protected:
  void begin(std::uint64_t seed = 1, DisseminationSim::Shape shape = {},
             ReplicaSettings replica = {}, SourceSettings source = {}) {
    sim = std::make_unique<DisseminationSim>(seed, shape, replica, source);
    sim->run(seconds(5));
    sim->load(seconds(3600));
  }
  std::string story() const {
    std::string all;
    for (const auto& error : sim->errors) all += error + "\n";
    return all;
  }
  // No more changes; all that run are current within `limit`, and the auditor has nothing to say.
  void settle(Duration limit = seconds(10)) {
    sim->purges_per_second = sim->configuration_per_second = 0;
    sim->faults = {};
    EXPECT_TRUE(sim->run_until([&] { return sim->all_current(); }, limit)) << story();
    sim->audit_watermarks();
    sim->audit_configuration();
    EXPECT_TRUE(sim->errors.empty()) << story();
  }
  // How long until all that run are current at some moment, with changes going on.
  Duration until_current(Duration limit = seconds(60)) {
    const Time from = sim->now();
    EXPECT_TRUE(sim->run_until([&] { return behind() == 0; }, limit)) << behind() << " are behind";
    return sim->now() - from;
  }
  // Members that run and lack a change that is older than the bounds.
  int behind() {
    int count = 0;
    for (int m = 0; m < sim->size(); ++m)
      count += sim->replica(m) && !sim->replica(m)->reliance(sim->now()).purges_complete &&
               sim->source()->state().heads[0] > sim->replica(m)->cursor(kPurge).sequence + 150;
    return count;
  }
  std::unique_ptr<DisseminationSim> sim;
};

TEST_F(DisseminationSimTest, OrdinaryTimesKeepTheBounds) {
  begin();
  sim->run(seconds(30));
  settle();
  EXPECT_GT(sim->applied[0].total(), 59u * 25 * 200);
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
  for (int m = 0; m < sim->size(); ++m) EXPECT_LE(sim->traffic(m).bytes(), 35u * 5000 + 25000) << m;
}

}  // namespace
}  // namespace silverpin::dissemination

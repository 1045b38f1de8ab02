// Dissemination of changes to many members under the simulated clock, without and with faults.
#include "dissemination_sim.h"

#include <gtest/gtest.h>

namespace balancer::dissemination {
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
  std::string error_text() const {
    std::string all;
    for (const auto& error : sim->errors) all += error + "\n";
    return all;
  }
  // Stops the changes and faults. Expects that all running members are current within `limit` and
  // that the auditor finds no error.
  void expect_converged(Duration limit = seconds(10)) {
    sim->purges_per_second = sim->configuration_per_second = 0;
    sim->faults = {};
    EXPECT_TRUE(sim->run_until([&] { return sim->all_current(); }, limit)) << error_text();
    sim->audit_watermarks();
    sim->audit_configuration();
    EXPECT_TRUE(sim->errors.empty()) << error_text();
  }
  // Returns the time until all running members are current at the same moment while changes
  // continue.
  Duration until_current(Duration limit = seconds(60)) {
    const Time from = sim->now();
    EXPECT_TRUE(sim->run_until([&] { return behind() == 0; }, limit)) << behind() << " are behind";
    return sim->now() - from;
  }
  // Returns the number of running members that lack a change that is older than the bounds.
  int behind() {
    int count = 0;
    for (int m = 0; m < sim->size(); ++m)
      count += sim->replica(m) && !sim->replica(m)->freshness(sim->now()).purges_complete &&
               sim->source()->state().heads[0] > sim->replica(m)->cursor(kPurge).sequence + 150;
    return count;
  }
  std::unique_ptr<DisseminationSim> sim;
};

TEST_F(DisseminationSimTest, DeliversWithinBoundsWithoutFaults) {
  begin();
  sim->run(seconds(30));
  expect_converged();
  EXPECT_GT(sim->applied[0].total(), 59u * 25 * 200);
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
  for (int m = 0; m < sim->size(); ++m) EXPECT_LE(sim->traffic(m).bytes(), 35u * 5000 + 25000) << m;
}

TEST_F(DisseminationSimTest, DeliversWithinBoundsAtOnePercentLoss) {
  begin(2);
  sim->faults.loss = 0.01;
  sim->run(seconds(60));
  expect_converged();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
}

TEST_F(DisseminationSimTest, DeliversWithinBoundsAtTwentyPercentLoss) {
  begin(3);
  sim->faults.loss = 0.2;
  sim->run(seconds(60));
  expect_converged();
  EXPECT_LE(sim->applied[0].quantile(0.99), 2500u) << sim->applied[0].quantile(1);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
}

TEST_F(DisseminationSimTest, ToleratesDelayReorderingAndDuplicates) {
  begin(4);
  sim->faults.late = 0.2;
  sim->faults.twice = 0.05;
  sim->run(seconds(60));
  expect_converged();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

// Duplicated bytes count against the budget too, so that delivery takes longer. There is no other
// effect.
TEST_F(DisseminationSimTest, ToleratesHalfOfMessagesLateAndThirdDuplicated) {
  begin(4);
  sim->faults.late = 0.5;
  sim->faults.twice = 0.3;
  sim->run(seconds(60));
  expect_converged();
  EXPECT_LE(sim->applied[0].quantile(0.99), 2500u);
}

// The relays of successive stripes are killed while they forward a batch.
TEST_F(DisseminationSimTest, DeliversWhenRelaysAreKilledWhileForwarding) {
  begin(5);
  for (std::uint32_t stripe = 0; stripe < 10; ++stripe) {
    sim->run(milliseconds(700));
    // All but its first two messages are lost, then it is killed.
    const MemberId relay = sim->tree().region_relays(DisseminationSim::name("r", 1), stripe).relay;
    int sent = 0;
    sim->tamper = [&](const MemberId& from, const MemberId&, Message&) {
      return from != relay || ++sent <= 2;
    };
    sim->run_until([&] { return sent > 2; }, seconds(2));
    sim->kill(sim->index_of(relay));
    sim->tamper = nullptr;
  }
  sim->run(seconds(5));
  expect_converged();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

TEST_F(DisseminationSimTest, DeliversWhenRelayAndStandbyAreKilled) {
  begin(6);
  for (const char* level : {"r", "s"}) {
    const std::string group = DisseminationSim::name(level, 2);
    const Relays relays =
        *level == 'r' ? sim->tree().region_relays(group, 9) : sim->tree().site_relays(group, 9);
    sim->kill(sim->index_of(relays.relay));
    sim->kill(sim->index_of(relays.standby));
  }
  sim->run(seconds(40));  // long enough for all stripes to be used
  expect_converged();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

// The members of a region have two different views of which members of a site are unreachable, so
// that for some stripes two members act as the relay, and for others none does.
TEST_F(DisseminationSimTest, DeliversWhenViewsOfRelaysDiffer) {
  begin(7);
  const auto site = sim->of_site(3);
  for (int viewer : sim->of_region(3)) {
    auto places = sim->places();
    for (std::size_t i = 0; i < site.size(); ++i)
      places[static_cast<std::size_t>(site[i])].reachable = i % 3 != (viewer / 20 % 2 == 0 ? 0 : 1);
    sim->set_view(viewer, std::make_shared<RelayTree>(places, 64));
  }
  sim->run(seconds(40));
  expect_converged();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

TEST_F(DisseminationSimTest, RecoversAfterSiteIsPartitionedForFiveMinutes) {
  begin(8);
  for (int m : sim->of_site(5)) sim->set_part(m, 1);
  sim->run(seconds(300));
  const auto distrusts = sim->distrusts;
  for (int m : sim->of_site(5)) {
    const auto freshness = sim->replica(m)->freshness(sim->now());
    EXPECT_FALSE(freshness.purges_complete) << "missed purges must not count as applied";
    EXPECT_TRUE(freshness.configuration_valid) << "the configuration is valid for 600 s";
  }
  const auto in_force = sim->source()->in_force(kPurge, sim->source()->state().heads[0]);
  EXPECT_FALSE(in_force.everywhere);
  ASSERT_FALSE(in_force.lacking.empty());
  EXPECT_EQ(sim->index_of(in_force.lacking[0].id) % 20, 5) << "the lagging members must be named";
  for (int m : sim->of_site(5)) sim->set_part(m, 0);
  EXPECT_LE(until_current(), seconds(10));
  EXPECT_EQ(sim->distrusts - distrusts, sim->of_site(5).size());
  expect_converged();
}

TEST_F(DisseminationSimTest, InvalidatesConfigurationAfterMaxAge) {
  ReplicaSettings settings;
  settings.max_configuration_age = seconds(30);
  begin(9, {}, settings);
  sim->set_part(4, 1);
  sim->run(seconds(29));
  EXPECT_TRUE(sim->replica(4)->freshness(sim->now()).configuration_valid);
  sim->run(seconds(3));
  EXPECT_FALSE(sim->replica(4)->freshness(sim->now()).configuration_valid);
  sim->set_part(4, 0);
  sim->run(seconds(5));
  EXPECT_TRUE(sim->replica(4)->freshness(sim->now()).configuration_valid);
  expect_converged();
}

// 224 members, as in a region of a fleet of the size that the design assumes.
TEST_F(DisseminationSimTest, RecoversAfterRegionOf224IsPartitioned) {
  begin(10, {2, 36, 448, 64});
  for (int m : sim->of_region(1)) sim->set_part(m, 1);
  ASSERT_EQ(sim->of_region(1).size(), 224u);
  sim->run(seconds(300));
  for (int m : sim->of_region(1)) sim->set_part(m, 0);
  EXPECT_LE(until_current(), seconds(10));
  expect_converged();
}

TEST_F(DisseminationSimTest, DeliversNumberedChangeAfterSourceIsKilledBeforeSending) {
  begin(11);
  sim->run(seconds(10));
  sim->change(kPurge);
  const Sequence numbered = sim->source()->log(kPurge).last();
  ASSERT_GT(numbered, sim->source()->state().heads[0]) << "not sent yet";
  sim->kill_source();
  sim->run(seconds(5));
  sim->start_source(sim->history(), 2);
  EXPECT_EQ(sim->source()->log(kPurge).last(), numbered);
  sim->run(seconds(20));
  expect_converged();
}

TEST_F(DisseminationSimTest, UndoesChangesThatNewSourceLacks) {
  begin(12);
  sim->configuration_per_second = 5;
  sim->run(seconds(30));
  const auto installs = sim->installs;
  History less = sim->history();
  for (auto& entries : less.entries) entries.resize(entries.size() - 30);
  sim->kill_source();
  sim->run(seconds(1));
  sim->start_source(less, 2);
  EXPECT_FALSE(sim->source()->in_force(kPurge, 1).everywhere) << "reports of the first term";
  sim->run(seconds(20));
  EXPECT_GE(sim->installs - installs, 200u)
      << "changes that only the first source had must be undone";
  expect_converged(seconds(20));
}

TEST_F(DisseminationSimTest, RecoversAfterMissedTerms) {
  begin(13);
  sim->run(seconds(10));
  for (int m : sim->of_site(2)) sim->set_part(m, 1);
  const History first = sim->history();
  for (Term term = 2; term <= 3; ++term) {
    sim->run(seconds(5));
    sim->kill_source();
    sim->start_source(term == 2 ? first : sim->history(), term);
  }
  sim->run(seconds(10));
  for (int m : sim->of_site(2)) sim->set_part(m, 0);
  sim->run(seconds(10));
  expect_converged(seconds(20));
}

TEST_F(DisseminationSimTest, RecoversAfterMemberIsPausedForHalfAMinute) {
  begin(14);
  sim->pause(7);
  sim->run(seconds(30));
  sim->resume(7);
  EXPECT_LE(until_current(), seconds(10));
  expect_converged();
}

TEST_F(DisseminationSimTest, RecoversWhenLogsNoLongerContainGap) {
  ReplicaSettings settings;
  settings.max_log_entries = {20, 5};
  SourceSettings source;
  source.max_log_entries = {100, 5};
  begin(15, {}, settings, source);
  sim->faults.loss = 0.1;
  sim->configuration_per_second = 5;
  sim->run(seconds(30));
  for (int m : sim->of_site(1)) sim->set_part(m, 1);
  sim->run(seconds(5));
  for (int m : sim->of_site(1)) sim->set_part(m, 0);
  sim->run(seconds(30));
  expect_converged();
  for (int m = 0; m < sim->size(); ++m) EXPECT_LE(sim->replica(m)->log(kPurge).size(), 20u);
}

TEST_F(DisseminationSimTest, RecoversAfterTenthOfMembersRestarts) {
  begin(16);
  sim->run(seconds(20));
  for (int m = 0; m < sim->size(); m += 10) sim->kill(m);
  sim->run(seconds(3));
  for (int m = 0; m < sim->size(); m += 10) sim->restart(m, m % 20 == 0);
  EXPECT_LE(until_current(), seconds(10));
  expect_converged();
}

TEST_F(DisseminationSimTest, DeliversBurstOfThousandChanges) {
  begin(17);
  sim->run(seconds(10));
  for (int i = 0; i < 1000; ++i) sim->change(kPurge);
  for (int i = 0; i < 1000; ++i) EXPECT_GT(sim->change(kConfiguration), 0u);
  sim->run(seconds(1));
  expect_converged(seconds(300));
  EXPECT_EQ(sim->distrusts, 200u)
      << "one for each member at its start: the burst is within max_replay";
}

TEST_F(DisseminationSimTest, SlowMemberDoesNotDelayOthers) {
  begin(18);
  // Any member of a site except the collector of the site's reports.
  int slow = 9;
  if (sim->tree().site_relays(DisseminationSim::name("s", 9), 0).relay == sim->replica_id(slow))
    slow += 20;
  sim->set_slow(slow, seconds(5));
  sim->run(seconds(60));
  const Sequence head = sim->source()->state().heads[0];
  for (int m = 0; m < sim->size(); ++m)
    EXPECT_TRUE(m == slow || head - sim->replica(m)->cursor(kPurge).sequence <= 150u) << m;
  const auto in_force = sim->source()->in_force(kPurge, head);
  EXPECT_EQ(in_force.lacking.at(0).id, sim->replica_id(slow));
  sim->set_slow(slow, Duration{0});
  sim->run(seconds(5));
  expect_converged();
}

}  // namespace
}  // namespace balancer::dissemination

// Changes to many members under the simulated clock: ordinary times, and what goes wrong.
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

TEST_F(DisseminationSimTest, LossOfOneInAHundred) {
  begin(2);
  sim->faults.loss = 0.01;
  sim->run(seconds(60));
  settle();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
}

TEST_F(DisseminationSimTest, LossOfOneInFive) {
  begin(3);
  sim->faults.loss = 0.2;
  sim->run(seconds(60));
  settle();
  EXPECT_LE(sim->applied[0].quantile(0.99), 2500u) << sim->applied[0].quantile(1);
  EXPECT_LE(sim->everywhere(kConfiguration).quantile(1), 10000u);
}

TEST_F(DisseminationSimTest, DelayReorderingAndDuplicatesAreHarmless) {
  begin(4);
  sim->faults.late = 0.2;
  sim->faults.twice = 0.05;
  sim->run(seconds(60));
  settle();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

// Bytes that come twice count against the budget too, so that times suffer; nothing else does.
TEST_F(DisseminationSimTest, HalfOfAllLateAndAThirdTwice) {
  begin(4);
  sim->faults.late = 0.5;
  sim->faults.twice = 0.3;
  sim->run(seconds(60));
  settle();
  EXPECT_LE(sim->applied[0].quantile(0.99), 2500u);
}

// Two in a row: the relays of the next stripes go in the middle of their batches.
TEST_F(DisseminationSimTest, RelayKilledInTheMiddleOfABatch) {
  begin(5);
  for (std::uint32_t stripe = 0; stripe < 10; ++stripe) {
    sim->run(milliseconds(700));
    // Its messages to half of its sites are lost, then it goes.
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
  settle();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

TEST_F(DisseminationSimTest, RelayAndStandbyKilled) {
  begin(6);
  for (const char* level : {"r", "s"}) {
    const std::string group = DisseminationSim::name(level, 2);
    const Relays relays =
        *level == 'r' ? sim->tree().region_relays(group, 9) : sim->tree().site_relays(group, 9);
    sim->kill(sim->index_of(relays.relay));
    sim->kill(sim->index_of(relays.standby));
  }
  sim->run(seconds(40));  // all stripes come by
  settle();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

// Half of a region sees one part of a site's members away, and the other half another part, so that
// two take themselves for the relay of one stripe and none for that of another.
TEST_F(DisseminationSimTest, TwoRelaysForOneSite) {
  begin(7);
  const auto site = sim->of_site(3);
  for (int viewer : sim->of_region(3)) {
    auto places = sim->places();
    for (std::size_t i = 0; i < site.size(); ++i)
      places[static_cast<std::size_t>(site[i])].reachable = i % 3 != (viewer / 20 % 2 == 0 ? 0 : 1);
    sim->set_view(viewer, std::make_shared<RelayTree>(places, 64));
  }
  sim->run(seconds(40));
  settle();
  EXPECT_LE(sim->everywhere(kPurge).quantile(1), 2500u);
}

TEST_F(DisseminationSimTest, SiteCutOffForFiveMinutes) {
  begin(8);
  for (int m : sim->of_site(5)) sim->set_part(m, 1);
  sim->run(seconds(300));
  const auto distrusts = sim->distrusts;
  for (int m : sim->of_site(5)) {
    const auto reliance = sim->replica(m)->reliance(sim->now());
    EXPECT_FALSE(reliance.purges_complete) << "what it missed is not taken for done";
    EXPECT_TRUE(reliance.configuration_valid) << "600 s are its bound";
  }
  const auto in_force = sim->source()->in_force(kPurge, sim->source()->state().heads[0]);
  EXPECT_FALSE(in_force.everywhere);
  ASSERT_FALSE(in_force.lacking.empty());
  EXPECT_EQ(sim->index_of(in_force.lacking[0].id) % 20, 5) << "it is named who holds it back";
  for (int m : sim->of_site(5)) sim->set_part(m, 0);
  EXPECT_LE(until_current(), seconds(10));
  EXPECT_EQ(sim->distrusts - distrusts, sim->of_site(5).size());
  settle();
}

TEST_F(DisseminationSimTest, OldConfigurationIsActedOnForABoundedTime) {
  ReplicaSettings settings;
  settings.max_configuration_age = seconds(30);
  begin(9, {}, settings);
  sim->set_part(4, 1);
  sim->run(seconds(29));
  EXPECT_TRUE(sim->replica(4)->reliance(sim->now()).configuration_valid);
  sim->run(seconds(3));
  EXPECT_FALSE(sim->replica(4)->reliance(sim->now()).configuration_valid);
  sim->set_part(4, 0);
  sim->run(seconds(5));
  EXPECT_TRUE(sim->replica(4)->reliance(sim->now()).configuration_valid);
  settle();
}

// As many as a region of the size that is designed for has.
TEST_F(DisseminationSimTest, RegionOf224IsCutOffAndHealsAtOnce) {
  begin(10, {2, 36, 448, 64});
  for (int m : sim->of_region(1)) sim->set_part(m, 1);
  ASSERT_EQ(sim->of_region(1).size(), 224u);
  sim->run(seconds(300));
  for (int m : sim->of_region(1)) sim->set_part(m, 0);
  EXPECT_LE(until_current(), seconds(10));
  settle();
}

TEST_F(DisseminationSimTest, SourceKilledBetweenNumberAndSending) {
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
  settle();
}

TEST_F(DisseminationSimTest, SourceReplacedByOneThatKnowsLess) {
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
  EXPECT_GE(sim->installs - installs, 200u) << "what only the first source knew is undone";
  settle(seconds(20));
}

TEST_F(DisseminationSimTest, TermsThatWereNotHeardOf) {
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
  settle(seconds(20));
}

TEST_F(DisseminationSimTest, MemberPausedForHalfAMinute) {
  begin(14);
  sim->pause(7);
  sim->run(seconds(30));
  sim->resume(7);
  EXPECT_LE(until_current(), seconds(10));
  settle();
}

TEST_F(DisseminationSimTest, LogThatWraps) {
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
  settle();
  for (int m = 0; m < sim->size(); ++m) EXPECT_LE(sim->replica(m)->log(kPurge).size(), 20u);
}

TEST_F(DisseminationSimTest, ATenthRestartsAtOnce) {
  begin(16);
  sim->run(seconds(20));
  for (int m = 0; m < sim->size(); m += 10) sim->kill(m);
  sim->run(seconds(3));
  for (int m = 0; m < sim->size(); m += 10) sim->restart(m, m % 20 == 0);
  EXPECT_LE(until_current(), seconds(10));
  settle();
}

TEST_F(DisseminationSimTest, BurstOfAThousandChanges) {
  begin(17);
  sim->run(seconds(10));
  for (int i = 0; i < 1000; ++i) sim->change(kPurge);
  for (int i = 0; i < 1000; ++i) EXPECT_GT(sim->change(kConfiguration), 0u);
  sim->run(seconds(1));
  settle(seconds(300));
  EXPECT_EQ(sim->distrusts, 200u) << "those of the start: the burst is within what is replayed";
}

TEST_F(DisseminationSimTest, ASlowMemberHoldsNobodyBack) {
  begin(18);
  // Any of a site but the one that collects the site's reports.
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
  settle();
}

}  // namespace
}  // namespace balancer::dissemination

// Plants faults in a balancer of the test itself. The auditor has to detect each of them, and
// nothing else.
#include <set>

#include "rig_harness.h"

namespace balancer::testbed {
namespace {

class PlantedTest : public ::testing::Test {
 protected:
  void begin(const std::string& extra = "") {
    scenario = parse_scenario(scenario_text(extra), "test.toml");
    context = std::make_unique<Context>(io, scenario);
    fleet = std::make_unique<Fleet>(*context);
    fleet->warm_with(Arrivals(scenario).popular());
    tally = std::make_unique<Tally>(scenario);
    const std::string list = fleet->discovery().whole_list(0);
    balancer =
        std::make_unique<PlantedBalancer>(*context, *fleet, dial(list, "h0"), dial(list, "origin"));
    load = std::make_unique<Load>(*context, *tally, std::vector<tcp::endpoint>{balancer->local()});
  }
  static std::string dial(const std::string& list, const std::string& host) {
    const auto at = list.find("\"dial\":\"", list.find("\"host\":\"" + host + "\"")) + 8;
    return list.substr(at, list.find('"', at) - at);
  }
  void run_scenario() {
    for (const IncidentSpec& i : scenario.incidents)
      context->at(i.at, [this, &i] { fleet->strike(i); });
    load->start();
    ASSERT_TRUE(run_until(io, [this] { return load->done(); }));
    load->close_all();
  }
  std::uint64_t breach_count(int rule) const { return context->auditor.breach_count(rule); }
  void expect_only(int rule) {
    EXPECT_GT(breach_count(rule), 0u);
    for (int other = 1; other <= 4; ++other) {
      if (other == rule || breach_count(other) == 0) continue;
      for (const Breach& b : context->auditor.breaches())
        ADD_FAILURE() << "rule " << b.rule << ": " << b.what << "\n" << b.story;
    }
    ASSERT_FALSE(context->auditor.breaches().empty());
    EXPECT_FALSE(context->auditor.breaches().front().story.empty());
  }

  // Expects that exactly these checks fail, each with an example.
  void expect_failed(const std::set<std::string>& names) {
    std::set<std::string> failed;
    for (const Check& c : context->auditor.checks())
      if (c.failed() && !c.example.empty()) failed.insert(c.name);
    EXPECT_EQ(failed, names);
  }

  Scenario scenario;
  asio::io_context io{1};
  std::unique_ptr<Context> context;
  std::unique_ptr<Tally> tally;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<PlantedBalancer> balancer;
  std::unique_ptr<Load> load;
};

TEST_F(PlantedTest, AcceptsACorrectBalancer) {
  begin();
  run_scenario();
  for (const Breach& b : context->auditor.breaches())
    ADD_FAILURE() << "rule " << b.rule << ": " << b.what << "\n" << b.story;
  EXPECT_GT(context->auditor.totals().served, 200u);
  EXPECT_EQ(context->auditor.totals().served, context->auditor.totals().tries);
  for (const Check& c : context->auditor.checks())
    EXPECT_EQ(c.broken, 0u) << c.name << " of " << c.cases << "\n" << c.example;
  EXPECT_GT(context->auditor.checks().front().cases, 0u) << "some were fetched after a miss";
}

// Guards against the fault that commit 5ed96c3 fixed in the balancer.
TEST_F(PlantedTest, DetectsAFetchAfterAMissThatStatesTheWholeDeadline) {
  begin();
  balancer->faults.tells_whole_time = true;
  for (KindSpec& k : scenario.kinds) k.memory_mb = 0;  // every read misses
  run_scenario();
  for (int rule = 1; rule <= 4; ++rule) EXPECT_EQ(breach_count(rule), 0u) << "rule " << rule;
  expect_failed({"further attempts told more time than is left"});
}

TEST_F(PlantedTest, AcceptsACorrectBalancerWhenClientsLeave) {
  begin();
  scenario.load.impatient = 0.5;
  run_scenario();
  for (int rule = 1; rule <= 4; ++rule) EXPECT_EQ(breach_count(rule), 0u) << "rule " << rule;
  expect_failed({});
}

TEST_F(PlantedTest, DetectsAttemptsAfterTheClientClosed) {
  begin();
  scenario.load.impatient = 0.5;
  balancer->faults.heeds_no_close = true;
  run_scenario();
  expect_only(1);
  expect_failed({"attempts begun late behind the client's close",
                 "waiting requests sent on behind the close"});
}

TEST_F(PlantedTest, DetectsADroppedAnswer) {
  begin();
  balancer->faults.drops = true;
  run_scenario();
  expect_only(1);
  expect_failed({"requests with no answer when their time is up"});
}

TEST_F(PlantedTest, DetectsASecondAnswer) {
  begin();
  balancer->faults.answers_twice = true;
  run_scenario();
  expect_only(1);
}

TEST_F(PlantedTest, DetectsAValueThatNoHostProduced) {
  begin();
  balancer->faults.serves_nonsense = true;
  run_scenario();
  expect_only(1);
}

TEST_F(PlantedTest, DetectsAnUnsafeRequestThatRunsTwice) {
  begin();
  balancer->faults.repeats_unsafe = true;
  run_scenario();
  expect_only(2);
}

TEST_F(PlantedTest, DetectsTheRefusalOfARequestThatMayHaveRun) {
  begin();
  balancer->faults.refuses_sent = true;
  run_scenario();
  expect_only(2);
}

TEST_F(PlantedTest, DetectsAnAttemptAfterTheDrainGrace) {
  begin("[[incident]]\nwhat = \"drain\"\nhost = \"h0\"\nat_s = 1\n");
  run_scenario();
  expect_only(3);
}

TEST_F(PlantedTest, DetectsAnOverloadedColdHost) {
  begin(
      "[[incident]]\nwhat = \"restart\"\nhost = \"h0\"\nat_s = 0.2\nfor_s = 0.1\n"
      "[[incident]]\nwhat = \"demand\"\nat_s = 0.4\nfor_s = 2\nfactor = 3\n");
  // Enough work to overload the cold host: its capacity is 10% of 2 cores, and the limit is three
  // times that for 0.5 s.
  for (ClassSpec& c : scenario.classes) c.work_ms = 8;
  scenario.kinds[0].miss_us = 8000;
  run_scenario();
  EXPECT_GT(breach_count(4), 0u);
}

}  // namespace
}  // namespace balancer::testbed

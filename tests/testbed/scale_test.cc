// The short forms of the scale sweeps: what they count holds on any machine, and how long it took
// is not looked at.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

#include "testbed/scale/control_plane.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

SweepOptions quick(std::uint64_t seed) {
  SweepOptions options;
  options.quick = true;
  options.seeds = {seed};
  return options;
}

TEST(LinearFit, FindsTheLineThroughItsPoints) {
  const LinearFit fit = fit_line({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(fit.slope, 2, 1e-12);
  EXPECT_NEAR(fit.intercept, 3, 1e-12);
  EXPECT_NEAR(fit.residual, 0, 1e-12);
  EXPECT_NEAR(fit.r_squared, 1, 1e-12);
  EXPECT_NEAR(fit.at(10), 23, 1e-12);
}

TEST(LinearFit, TellsHowFarPointsLieFromTheLine) {
  const LinearFit fit = fit_line({{0, 1}, {1, -1}, {2, -1}, {3, 1}});
  EXPECT_NEAR(fit.slope, 0, 1e-12);
  EXPECT_NEAR(fit.residual, 1, 1e-12);
  EXPECT_NEAR(fit.r_squared, 0, 1e-12);
}

TEST(LinearFit, GivesThePowerLawWhereALineDoesNotFit) {
  std::vector<Point> squares;
  for (double x = 1; x <= 8; x *= 2) squares.push_back({x, 3 * x * x});
  EXPECT_NEAR(fit_line(squares).exponent, 2, 1e-12);
}

TEST(LinearFit, HasNoSlopeWithoutTwoSizes) {
  EXPECT_EQ(fit_line({}).points, 0u);
  EXPECT_EQ(fit_line({{2, 5}}).slope, 0);
  EXPECT_EQ(fit_line({{2, 5}, {2, 7}}).slope, 0);
  EXPECT_NEAR(fit_line({{2, 5}, {2, 7}}).intercept, 6, 1e-12);
}

TEST(ScaleTable, WritesItsRowsAndRefusesUnknownColumns) {
  Table table({"hosts", "bytes"});
  table.add({50, 0.5});
  EXPECT_EQ(table.csv(), "hosts,bytes\n50,0.5\n");
  EXPECT_EQ(table.at(0, "bytes"), 0.5);
  EXPECT_THROW(table.at(0, "calls"), std::out_of_range);
}

TEST(ScaleSweep, AnUnknownNameIsRefused) {
  EXPECT_THROW(run_and_write("moons", {}), std::invalid_argument);
}

class ChangesSweep : public ::testing::Test {
 protected:
  static const Table& table() {
    static const SweepResult result = sweep_changes(quick(1));
    return result.table;
  }
};

// Each change is in force at each balancer in the end, and no watch broke under them.
TEST_F(ChangesSweep, EveryChangeComesIntoForceEverywhere) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    SCOPED_TRACE(row);
    EXPECT_EQ(table().at(row, "outstanding"), 0);
    EXPECT_EQ(table().at(row, "in_force"), table().at(row, "changes"));
    if (table().at(row, "rate_per_s") > 0) {
      EXPECT_GT(table().at(row, "changes"), 0);
    }
  }
}

// Calls of a balancer that are no answer to a change: watches whose wait was over, the one that is
// out at the end, and, on a machine that stalls, whole lists with the watch behind each.
double idle_calls(const Table& table, std::size_t row) {
  constexpr double kPushedWaitSeconds = 1;
  return 2 + table.at(row, "seconds") / kPushedWaitSeconds + 2 * table.at(row, "whole_lists");
}

// Changes that come together are told together: never more than a call a change and balancer.
TEST_F(ChangesSweep, AWatchTakesACallAChangeAtMost) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    if (table().at(row, "breaks") > 0) continue;
    SCOPED_TRACE(row);
    EXPECT_LE(table().at(row, "calls"), table().at(row, "balancers") * (table().at(row, "changes") +
                                                                        idle_calls(table(), row)));
  }
}

TEST_F(ChangesSweep, AWholeListGrowsWithItsHosts) {
  double bytes_of_50 = 0, bytes_of_400 = 0;
  for (std::size_t row = 0; row < table().rows(); ++row) {
    if (table().at(row, "breaks") == 0) continue;
    const double whole_lists = table().at(row, "whole_lists");
    ASSERT_GE(whole_lists, 1);
    const double bytes = table().at(row, "bytes_out") / whole_lists;
    (table().at(row, "hosts") == 50 ? bytes_of_50 : bytes_of_400) = bytes;
  }
  const double per_host = (bytes_of_400 - bytes_of_50) / 350;
  EXPECT_GT(per_host, 100);
  EXPECT_LT(per_host, 200);
}

TEST_F(ChangesSweep, ABurstIsToldInOneCall) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    if (table().at(row, "burst") == 0) continue;
    EXPECT_EQ(table().at(row, "changes"), 100);
    EXPECT_LE(table().at(row, "calls"), 1 + idle_calls(table(), row));
  }
}

// Each member probes another one every 200 ms, whatever the size of the group, and has two
// datagrams of each probe: a ping, and an acknowledgement of another's.
TEST(GroupSweep, DatagramsOfAMemberDoNotGrowWithTheGroup) {
  const SweepResult result = sweep_group(quick(1));
  constexpr double kProbesPerSecond = 5, kDatagramsOfAProbe = 2;
  double smallest = 0, largest = 0;
  for (std::size_t row = 0; row < result.table.rows(); ++row) {
    SCOPED_TRACE(row);
    EXPECT_EQ(result.table.at(row, "least_alive"), result.table.at(row, "members"));
    EXPECT_LE(result.table.at(row, "max_datagram"), 1400);
    if (result.table.at(row, "restarts") > 0) continue;
    if (smallest == 0) smallest = result.table.at(row, "datagrams_per_s");
    largest = result.table.at(row, "datagrams_per_s");
    EXPECT_GE(largest, 0.95 * kProbesPerSecond * kDatagramsOfAProbe);
  }
  EXPECT_LT(largest, 1.5 * smallest);
}

TEST(GroupSweep, OneSeedGivesOneResult) {
  const SweepResult first = sweep_group(quick(7)), second = sweep_group(quick(7));
  ASSERT_EQ(first.table.rows(), second.table.rows());
  for (std::size_t row = 0; row < first.table.rows(); ++row) {
    EXPECT_EQ(first.table.at(row, "datagrams_per_s"), second.table.at(row, "datagrams_per_s"));
    EXPECT_EQ(first.table.at(row, "bytes_per_s"), second.table.at(row, "bytes_per_s"));
  }
}

TEST(OriginSweep, MoreBalancersFetchAKeyMoreOften) {
  const SweepResult result = sweep_origin(quick(1));
  ASSERT_EQ(result.table.rows(), 3u);
  EXPECT_EQ(result.table.at(0, "repeated_share"), 0);
  EXPECT_GT(result.table.at(2, "fetches"), result.table.at(0, "fetches"));
  EXPECT_EQ(result.table.at(2, "tries"), result.table.at(0, "tries")) << "the same clients";
}

SweepOptions quick_with_program() {
  SweepOptions options = quick(1);
  options.program = BALANCER_PROGRAM;
  return options;
}

TEST(HostsSweep, AProcessTakesItsListAndTheChangesBehindIt) {
  const SweepResult result = sweep_hosts(quick_with_program());
  ASSERT_EQ(result.table.rows(), 2u);
  for (std::size_t row = 0; row < result.table.rows(); ++row) {
    SCOPED_TRACE(row);
    EXPECT_EQ(result.table.at(row, "listed"), 1);
    EXPECT_GE(result.table.at(row, "whole_lists"), 1);
    EXPECT_GT(result.table.at(row, "changes"), 0);
    EXPECT_GT(result.table.at(row, "resident_mb"), 0);
  }
}

// A balancer that starts, or has lost discovery, asks for one whole list, and then watches.
TEST(RestartSweep, AStartAndAnOutageTakeAWholeListEach) {
  const SweepResult result = sweep_restart(quick_with_program());
  ASSERT_EQ(result.table.rows(), 5u);
  // While discovery is away the retries of a balancer lie this far apart at the least.
  constexpr double kMinRetrySeconds = 0.25;
  for (std::size_t row = 0; row < result.table.rows(); ++row) {
    SCOPED_TRACE(row);
    const double processes = result.table.at(row, "processes");
    EXPECT_GE(result.table.at(row, "whole_lists"), processes);
    EXPECT_LE(result.table.at(row, "calls"), 2 * result.table.at(row, "whole_lists") +
                                                 processes * (1 + result.table.at(row, "ready_s")));
    EXPECT_LE(result.table.at(row, "outage_calls"),
              processes * (2 + result.table.at(row, "outage_s") / kMinRetrySeconds));
    if (result.table.at(row, "outage_s") > 0) {
      EXPECT_GE(result.table.at(row, "outage_calls"), processes);
    }
  }
}

TEST(LoadSweep, RequestsAreServedAndStreamsStayOpen) {
  const SweepResult result = sweep_load(quick_with_program());
  ASSERT_EQ(result.table.rows(), 3u);
  EXPECT_GT(result.table.at(0, "served"), 0);
  EXPECT_EQ(result.table.at(1, "clients"), 20);
  // More only where the balancer has asked again on a machine that stalls.
  EXPECT_GE(result.table.at(2, "streams"), 4);
}

TEST(ScaleSweep, WritesItsTablesAndCharts) {
  char folder[] = "/tmp/balancer-scale-test-XXXXXX";
  ASSERT_NE(::mkdtemp(folder), nullptr);
  SweepOptions options = quick(1);
  options.folder = folder;
  run_and_write("origin", options);
  for (const char* file : {"/origin.csv", "/origin-fits.csv", "/origin.html"})
    EXPECT_GT(std::filesystem::file_size(folder + std::string(file)), 0u) << file;
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace balancer::testbed::scale

// Short forms of the scale sweeps. The counts must hold on any machine; times are not checked.
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

TEST(LinearFit, FitsExactLine) {
  const LinearFit fit = fit_line({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(fit.slope, 2, 1e-12);
  EXPECT_NEAR(fit.intercept, 3, 1e-12);
  EXPECT_NEAR(fit.residual, 0, 1e-12);
  EXPECT_NEAR(fit.r_squared, 1, 1e-12);
  EXPECT_NEAR(fit.at(10), 23, 1e-12);
}

TEST(LinearFit, ReportsResidualAroundLine) {
  const LinearFit fit = fit_line({{0, 1}, {1, -1}, {2, -1}, {3, 1}});
  EXPECT_NEAR(fit.slope, 0, 1e-12);
  EXPECT_NEAR(fit.residual, 1, 1e-12);
  EXPECT_NEAR(fit.r_squared, 0, 1e-12);
}

TEST(LinearFit, FitsPowerLawExponent) {
  std::vector<Point> squares;
  for (double x = 1; x <= 8; x *= 2) squares.push_back({x, 3 * x * x});
  EXPECT_NEAR(fit_line(squares).exponent, 2, 1e-12);
}

TEST(LinearFit, HasZeroSlopeForFewerThanTwoSizes) {
  EXPECT_EQ(fit_line({}).points, 0u);
  EXPECT_EQ(fit_line({{2, 5}}).slope, 0);
  EXPECT_EQ(fit_line({{2, 5}, {2, 7}}).slope, 0);
  EXPECT_NEAR(fit_line({{2, 5}, {2, 7}}).intercept, 6, 1e-12);
}

TEST(ScaleTable, WritesCsvAndRejectsUnknownColumns) {
  Table table({"hosts", "bytes"});
  table.add({50, 0.5});
  EXPECT_EQ(table.csv(), "hosts,bytes\n50,0.5\n");
  EXPECT_EQ(table.at(0, "bytes"), 0.5);
  EXPECT_THROW(table.at(0, "calls"), std::out_of_range);
}

TEST(ScaleSweep, RejectsUnknownName) {
  EXPECT_THROW(run_and_write("moons", {}), std::invalid_argument);
}

class ChangesSweep : public ::testing::Test {
 protected:
  static const Table& table() {
    static const SweepResult result = sweep_changes(quick(1));
    return result.table;
  }
};

// Every balancer applies every change, and no change is left outstanding.
TEST_F(ChangesSweep, EveryBalancerAppliesEveryChange) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    SCOPED_TRACE(row);
    EXPECT_EQ(table().at(row, "outstanding"), 0);
    EXPECT_EQ(table().at(row, "in_force"), table().at(row, "changes"));
    if (table().at(row, "rate_per_s") > 0) {
      EXPECT_GT(table().at(row, "changes"), 0);
    }
  }
}

// Returns the upper bound on a balancer's calls that no change answers: expired watches, the watch
// that is open at the end and, on a machine that stalls, full lists with the watch after each.
double idle_calls(const Table& table, std::size_t row) {
  constexpr double kPushedWaitSeconds = 1;
  return 2 + table.at(row, "seconds") / kPushedWaitSeconds + 2 * table.at(row, "whole_lists");
}

// Simultaneous changes are delivered together, so there is at most one call per change and
// balancer.
TEST_F(ChangesSweep, WatchMakesAtMostOneCallPerChange) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    if (table().at(row, "breaks") > 0) continue;
    SCOPED_TRACE(row);
    EXPECT_LE(table().at(row, "calls"), table().at(row, "balancers") * (table().at(row, "changes") +
                                                                        idle_calls(table(), row)));
  }
}

TEST_F(ChangesSweep, FullListSizeGrowsWithHosts) {
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

TEST_F(ChangesSweep, DeliversBurstInOneCall) {
  for (std::size_t row = 0; row < table().rows(); ++row) {
    if (table().at(row, "burst") == 0) continue;
    EXPECT_EQ(table().at(row, "changes"), 100);
    EXPECT_LE(table().at(row, "calls"), 1 + idle_calls(table(), row));
  }
}

// Each member probes one other member every 200 ms regardless of group size, and sends two
// datagrams per probe: a ping, and an acknowledgement of another member's ping.
TEST(GroupSweep, DatagramsPerMemberDoNotGrowWithGroupSize) {
  const SweepResult result = sweep_group(quick(1));
  constexpr double kProbesPerSecond = 5, kDatagramsPerProbe = 2;
  double smallest = 0, largest = 0;
  for (std::size_t row = 0; row < result.table.rows(); ++row) {
    SCOPED_TRACE(row);
    EXPECT_EQ(result.table.at(row, "least_alive"), result.table.at(row, "members"));
    EXPECT_LE(result.table.at(row, "max_datagram"), 1400);
    if (result.table.at(row, "restarts") > 0) continue;
    if (smallest == 0) smallest = result.table.at(row, "datagrams_per_s");
    largest = result.table.at(row, "datagrams_per_s");
    EXPECT_GE(largest, 0.95 * kProbesPerSecond * kDatagramsPerProbe);
  }
  EXPECT_LT(largest, 1.5 * smallest);
}

TEST(GroupSweep, SameSeedGivesSameResult) {
  const SweepResult first = sweep_group(quick(7)), second = sweep_group(quick(7));
  ASSERT_EQ(first.table.rows(), second.table.rows());
  for (std::size_t row = 0; row < first.table.rows(); ++row) {
    EXPECT_EQ(first.table.at(row, "datagrams_per_s"), second.table.at(row, "datagrams_per_s"));
    EXPECT_EQ(first.table.at(row, "bytes_per_s"), second.table.at(row, "bytes_per_s"));
  }
}

TEST(OriginSweep, RepeatedFetchesGrowWithBalancers) {
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

TEST(HostsSweep, ProcessAppliesListAndLaterChanges) {
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

// A balancer that starts or has lost discovery requests one full list and then watches.
TEST(RestartSweep, StartAndOutageEachRequestOneFullList) {
  const SweepResult result = sweep_restart(quick_with_program());
  ASSERT_EQ(result.table.rows(), 5u);
  // Minimum interval between a balancer's retries during an outage of discovery.
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

TEST(LoadSweep, ServesRequestsAndKeepsStreamsOpen) {
  const SweepResult result = sweep_load(quick_with_program());
  ASSERT_EQ(result.table.rows(), 3u);
  EXPECT_GT(result.table.at(0, "served"), 0);
  EXPECT_EQ(result.table.at(1, "clients"), 20);
  // More only if the balancer has retried on a machine that stalls.
  EXPECT_GE(result.table.at(2, "streams"), 4);
}

TEST(ScaleSweep, WritesTablesAndCharts) {
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

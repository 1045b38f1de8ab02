// Failover of a service address between real processes. The tests assert that another instance
// serves afterwards and that the old holder does not; they do not check the reported times.
#include "testbed/failover_test.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace balancer::testbed {
namespace {

TEST(FailoverTest, MovesAddressAfterEachKindOfFault) {
  char name[] = "/tmp/balancer-moves-XXXXXX";
  ASSERT_NE(::mkdtemp(name), nullptr);
  FailoverOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = name;
  options.rounds = 7;
  options.progress = false;
  EXPECT_EQ(run_failover_test(options), 0);
  const auto moves = nlohmann::json::parse(std::ifstream(std::string(name) + "/moves.json"));
  ASSERT_EQ(moves.size(), 7u);
  for (const auto& m : moves) {
    EXPECT_GE(m["served_again_ms"].get<double>(), 0) << m;
    EXPECT_TRUE(m["old_served_late_ms"].empty()) << m;
  }
  std::filesystem::remove_all(name);
}

// Each process starts while writes and syncs of files fail. The voters must vote once storage
// works.
TEST(FailoverTest, VotersRecoverFromStorageFailureAtStart) {
  char name[] = "/tmp/balancer-moves-XXXXXX";
  ASSERT_NE(::mkdtemp(name), nullptr);
  FailoverOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = name;
  options.rounds = 1;
  options.progress = false;
  options.faults = "storage_until_ms=1500";
  EXPECT_EQ(run_failover_test(options), 0);
  std::filesystem::remove_all(name);
}

TEST(FailoverTest, RejectsInvalidOptions) {
  FailoverOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = "/tmp";
  options.only = "frob";
  EXPECT_EQ(check_failover_options(options), "unknown fault 'frob'");
  options.only = "killed";
  EXPECT_EQ(check_failover_options(options), "");
  options.voters = 6;
  EXPECT_NE(check_failover_options(options), "");
}

}  // namespace
}  // namespace balancer::testbed

// A service address that moves, against real processes: each kind of trouble once. What is asserted
// is that another serves afterwards, and that the old one does not; the times are the report's.
#include "testbed/failover_test.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace balancer::testbed {
namespace {

TEST(FailoverTest, EachKindOfTroubleOnce) {
  char name[] = "/tmp/balancer-moves-XXXXXX";
  ASSERT_NE(::mkdtemp(name), nullptr);
  MoveOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = name;
  options.rounds = 7;
  options.progress = false;
  EXPECT_EQ(run_moves(options), 0);
  const auto moves = nlohmann::json::parse(std::ifstream(std::string(name) + "/moves.json"));
  ASSERT_EQ(moves.size(), 7u);
  for (const auto& m : moves) {
    EXPECT_GE(m["served_again_ms"].get<double>(), 0) << m;
    EXPECT_TRUE(m["old_served_late_ms"].empty()) << m;
  }
  std::filesystem::remove_all(name);
}

// Each process starts while no file can be written or synced. Once that is over its voters vote.
TEST(FailoverTest, VotersWhoseStorageFailsAtTheStartVoteOnceItWorks) {
  char name[] = "/tmp/balancer-moves-XXXXXX";
  ASSERT_NE(::mkdtemp(name), nullptr);
  MoveOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = name;
  options.rounds = 1;
  options.progress = false;
  options.faults = "storage_until_ms=1500";
  EXPECT_EQ(run_moves(options), 0);
  std::filesystem::remove_all(name);
}

TEST(FailoverTest, AnUnknownTroubleIsNamed) {
  MoveOptions options;
  options.program = BALANCER_PROGRAM;
  options.folder = "/tmp";
  options.only = "frob";
  EXPECT_EQ(check_moves(options), "there is no trouble 'frob'");
  options.only = "killed";
  EXPECT_EQ(check_moves(options), "");
  options.voters = 6;
  EXPECT_NE(check_moves(options), "");
}

}  // namespace
}  // namespace balancer::testbed

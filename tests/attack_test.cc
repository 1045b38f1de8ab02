// The memory of a balancer under attack, and what ordinary clients get beside a client that sends
// at full speed. Plays the program in processes of its own; not built with sanitizers, which change
// the memory that a process needs.
#include "testbed/attack/attack.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <string>

#include "testbed/attack/flood.h"

namespace balancer::testbed::attack {
namespace {

constexpr int kSockets = 1024;
// The least and the most memory that the platform's pages name.
constexpr int kMemoryLimits[] = {32, 192};

void raise_descriptor_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

class MemoryAttackTest : public ::testing::TestWithParam<std::size_t> {};

// Guards against a process that holds more for its peers than its memory limit allows, and is
// killed.
TEST_P(MemoryAttackTest, PeakStaysBelowTheLimit) {
  raise_descriptor_limit();
  const Shape& shape = all_shapes().at(GetParam());
  for (const int memory_mb : kMemoryLimits) {
    const AttackFigures figures = play(shape, BALANCER_PROGRAM, memory_mb, kSockets);
    EXPECT_LT(figures.peak_mb, memory_mb);
    EXPECT_FALSE(figures.has_ended) << figures.last_log_lines;
    EXPECT_TRUE(figures.answers_after) << figures.last_log_lines;
  }
}

INSTANTIATE_TEST_SUITE_P(Shapes, MemoryAttackTest,
                         ::testing::Range(std::size_t{0}, all_shapes().size()),
                         [](const auto& shape) { return all_shapes().at(shape.param).name; });

class FloodTest : public ::testing::TestWithParam<std::string> {};

// Guards against one client that takes the service from the others: at least nine in ten of their
// requests are served, and nine in ten of those that a balancer without the flood serves.
TEST_P(FloodTest, OrdinaryClientsAreServed) {
  constexpr int kMemoryMb = 192;
  const auto play_named = [](const std::string& name) {
    const auto flood = std::find_if(all_floods().begin(), all_floods().end(),
                                    [&name](const Flood& f) { return f.name == name; });
    return play(*flood, BALANCER_PROGRAM, BALANCER_CALM_SCENARIO, kMemoryMb, kSockets);
  };
  const FloodFigures calm = play_named("NoFlood");
  const FloodFigures beside = play_named(GetParam());
  EXPECT_GE(beside.served * 10, (beside.served + beside.not_served) * 9);
  EXPECT_GE(beside.served * 10, calm.served * 9);
}

INSTANTIATE_TEST_SUITE_P(Floods, FloodTest,
                         ::testing::Values("NewKeysDeadline5", "NewKeysDeadline20",
                                           "NewKeysDeadline500", "NewTenants", "Bookings"),
                         [](const auto& flood) { return flood.param; });

}  // namespace
}  // namespace balancer::testbed::attack

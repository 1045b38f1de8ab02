// What restarts cost discovery, and how long they take: a tenth of hollow balancers starts anew
// while the others watch, and real processes that are all started at once.
#include "rig/scale/balancer_processes.h"
#include "rig/scale/sweep.h"

namespace silverpin::rig::scale {
namespace {

constexpr Duration kGetsReady = std::chrono::seconds(60);
constexpr int kHosts = 1400;
// Of hollow balancers, which share one core: at rest each takes a part of it that grows with hosts.
constexpr int kHollowHosts = 200;

struct RestartCost {
  int processes = 0, real = 0;
  double ready_s = 0;
  DiscoveryService::Usage discovery;
  double cpu_ms = 0;  // of all that started
};

std::vector<double> row(const RestartCost& cost, std::uint64_t seed) {
  return {static_cast<double>(cost.real),
          static_cast<double>(cost.processes),
          static_cast<double>(seed),
          cost.ready_s,
          static_cast<double>(cost.discovery.calls),
          static_cast<double>(cost.discovery.whole_lists),
          static_cast<double>(cost.discovery.bytes_in),
          static_cast<double>(cost.discovery.bytes_out),
          millis(cost.discovery.cpu),
          cost.cpu_ms};
}

double seconds_since(std::chrono::steady_clock::time_point began) {
  return seconds(std::chrono::steady_clock::now() - began);
}

// All come up on one event loop, as fast as one core lets them.
RestartCost restart_hollow(int balancers, std::uint64_t seed) {
  DiscoveryService discovery(kHollowHosts, balancers, seed);
  const auto began = std::chrono::steady_clock::now();
  const Duration cpu = thread_cpu_time();
  HollowBalancers started(discovery, balancers, false, seed);
  if (!started.run_until([&] { return discovery.listed() == balancers; }, kGetsReady))
    throw std::runtime_error("a balancer got no list");
  RestartCost cost;
  cost.processes = balancers;
  cost.ready_s = seconds_since(began);
  cost.discovery = discovery.usage();
  cost.cpu_ms = millis(thread_cpu_time() - cpu);
  return cost;
}

RestartCost restart_processes(const SweepOptions& options, int processes, std::uint64_t seed) {
  DiscoveryService discovery(kHosts, processes, seed);
  BalancerProcesses::Settings settings;
  settings.count = processes;
  settings.seed = seed;
  BalancerProcesses all(options, discovery, settings);
  const auto began = std::chrono::steady_clock::now();
  if (!all.start(kGetsReady) ||
      !all.run_until([&] { return discovery.listed() == processes; }, kGetsReady))
    throw std::runtime_error("a balancer did not come up");
  RestartCost cost;
  cost.processes = processes;
  cost.real = 1;
  cost.ready_s = seconds_since(began);
  cost.discovery = discovery.usage();
  cost.cpu_ms = all.usage().cpu_ms;
  return cost;
}

}  // namespace

SweepResult sweep_restart(const SweepOptions& options) {
  SweepResult result{"restart",
                     Table({"real", "processes", "seed", "ready_s", "calls", "whole_lists",
                            "bytes_in", "bytes_out", "discovery_cpu_ms", "cpu_ms"}),
                     {}};
  const std::vector<int> hollow =
      options.quick ? std::vector<int>{2, 8} : std::vector<int>{5, 10, 20, 40, 80};
  const std::vector<int> real =
      options.quick ? std::vector<int>{4} : std::vector<int>{10, 25, 50, 100};
  for (const std::uint64_t seed : options.seeds) {
    for (const int balancers : hollow) {
      result.table.add(row(restart_hollow(balancers, seed), seed));
      report_progress(options, "restart: %d hollow balancers, seed %llu", balancers,
                      static_cast<unsigned long long>(seed));
    }
    for (const int processes : real) {
      result.table.add(row(restart_processes(options, processes, seed), seed));
      report_progress(options, "restart: %d processes, seed %llu", processes,
                      static_cast<unsigned long long>(seed));
    }
  }
  const Table& t = result.table;
  const auto by_processes = [&](const std::string& what, const std::string& unit,
                                const std::string& column, bool processes) {
    result.fit(
        what, processes ? "processes" : "balancers", unit,
        [&t, column](std::size_t i) {
          return Point{t.at(i, "processes"), t.at(i, column)};
        },
        [&t, processes](std::size_t i) { return t.at(i, "real") == processes; });
  };
  by_processes("discovery calls of a restart", "calls", "calls", false);
  by_processes("discovery bytes of a restart, 200 hosts", "bytes", "bytes_out", false);
  by_processes("discovery CPU of a restart, 200 hosts (stand-in)", "CPU ms", "discovery_cpu_ms",
               false);
  by_processes("CPU of starting hollow balancers, 200 hosts", "CPU ms", "cpu_ms", false);
  by_processes("CPU of starting processes, 1400 hosts", "CPU ms", "cpu_ms", true);
  by_processes("time until all processes are ready, 1400 hosts", "s", "ready_s", true);
  return result;
}

}  // namespace silverpin::rig::scale

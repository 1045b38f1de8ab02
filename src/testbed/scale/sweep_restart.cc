// Cost of starts and of an outage to discovery: in-process balancers and real processes that all
// start at once, and in-process balancers that call during an outage of discovery and after it.
#include "testbed/scale/balancer_processes.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

constexpr Duration kReadyTimeout = std::chrono::seconds(60);
constexpr int kHosts = 1400;
// For in-process balancers, which share one core: at rest each uses a part of it that grows with
// the number of hosts.
constexpr int kInProcessHosts = 200;

enum class Kind { kInProcessStart, kProcessStart, kOutage };

struct RestartCost {
  Kind kind = Kind::kInProcessStart;
  int processes = 0;
  double outage_s = 0, outage_calls = 0;
  // Time until all have their list; for an outage, from its end until all have requested the full
  // list.
  double ready_s = 0;
  DiscoveryService::Usage discovery;
  double cpu_ms = 0;  // of all balancers
};

std::vector<double> row(const RestartCost& cost, std::uint64_t seed) {
  return {static_cast<double>(cost.kind),
          static_cast<double>(cost.processes),
          static_cast<double>(seed),
          cost.outage_s,
          cost.outage_calls,
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

// Starts all balancers on one event loop, as fast as one core allows.
RestartCost restart_in_process(int balancers, std::uint64_t seed) {
  DiscoveryService discovery(kInProcessHosts, balancers, seed);
  const auto began = std::chrono::steady_clock::now();
  const Duration cpu = thread_cpu_time();
  InProcessBalancers started(discovery, balancers, false, seed);
  if (!started.run_until([&] { return discovery.listed() == balancers; }, kReadyTimeout))
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
  if (!all.start(kReadyTimeout) ||
      !all.run_until([&] { return discovery.listed() == processes; }, kReadyTimeout))
    throw std::runtime_error("a balancer did not come up");
  RestartCost cost;
  cost.processes = processes;
  cost.kind = Kind::kProcessStart;
  cost.ready_s = seconds_since(began);
  cost.discovery = discovery.usage();
  cost.cpu_ms = all.usage().cpu_ms;
  return cost;
}

RestartCost measure_discovery_outage(int balancers, std::uint64_t seed, Duration length) {
  DiscoveryService discovery(kInProcessHosts, balancers, seed);
  InProcessBalancers all(discovery, balancers, false, seed);
  if (!all.run_until([&] { return discovery.listed() == balancers; }, kReadyTimeout))
    throw std::runtime_error("a balancer got no list");
  const auto before = discovery.usage();
  discovery.set_down(true);
  all.run_for(length);
  const auto at_return = discovery.usage();
  const auto began = std::chrono::steady_clock::now();
  const Duration cpu = thread_cpu_time();
  discovery.set_down(false);
  const auto asked = [&] {
    return discovery.usage().since(at_return).whole_lists >= static_cast<std::uint64_t>(balancers);
  };
  if (!all.run_until(asked, kReadyTimeout))
    throw std::runtime_error("a balancer did not ask for the whole list");
  RestartCost cost;
  cost.kind = Kind::kOutage;
  cost.processes = balancers;
  cost.outage_s = seconds(length);
  cost.outage_calls = static_cast<double>(at_return.since(before).calls);
  cost.ready_s = seconds_since(began);
  cost.discovery = discovery.usage().since(at_return);
  cost.cpu_ms = millis(thread_cpu_time() - cpu);
  return cost;
}

}  // namespace

SweepResult sweep_restart(const SweepOptions& options) {
  SweepResult result{
      "restart",
      Table({"kind", "processes", "seed", "outage_s", "outage_calls", "ready_s", "calls",
             "whole_lists", "bytes_in", "bytes_out", "discovery_cpu_ms", "cpu_ms"}),
      {}};
  const std::vector<int> in_process =
      options.quick ? std::vector<int>{2, 8} : std::vector<int>{5, 10, 20, 40, 80};
  const std::vector<int> real =
      options.quick ? std::vector<int>{4} : std::vector<int>{10, 25, 50, 100};
  const Duration outage = std::chrono::seconds(options.quick ? 2 : 4);
  for (const std::uint64_t seed : options.seeds) {
    for (const int balancers : in_process) {
      result.table.add(row(restart_in_process(balancers, seed), seed));
      report_progress(options, "restart: %d in-process balancers, seed %llu", balancers,
                      static_cast<unsigned long long>(seed));
    }
    for (const int balancers : in_process) {
      result.table.add(row(measure_discovery_outage(balancers, seed, outage), seed));
      report_progress(options, "restart: %d in-process balancers, discovery away, seed %llu",
                      balancers, static_cast<unsigned long long>(seed));
    }
    for (const int processes : real) {
      result.table.add(row(restart_processes(options, processes, seed), seed));
      report_progress(options, "restart: %d processes, seed %llu", processes,
                      static_cast<unsigned long long>(seed));
    }
  }
  const Table& t = result.table;
  const auto by_processes = [&](const std::string& what, const std::string& unit,
                                const std::string& column, Kind kind) {
    result.fit(
        what, kind == Kind::kProcessStart ? "processes" : "balancers", unit,
        [&t, column](std::size_t i) {
          return Point{t.at(i, "processes"), t.at(i, column)};
        },
        [&t, kind](std::size_t i) { return t.at(i, "kind") == static_cast<double>(kind); });
  };
  by_processes("discovery calls of a restart", "calls", "calls", Kind::kInProcessStart);
  by_processes("discovery bytes of a restart, 200 hosts", "bytes", "bytes_out",
               Kind::kInProcessStart);
  by_processes("discovery CPU of a restart, 200 hosts (stand-in)", "CPU ms", "discovery_cpu_ms",
               Kind::kInProcessStart);
  by_processes("CPU of starting hollow balancers, 200 hosts", "CPU ms", "cpu_ms",
               Kind::kInProcessStart);
  by_processes("CPU of starting processes, 1400 hosts", "CPU ms", "cpu_ms", Kind::kProcessStart);
  by_processes("time until all processes are ready, 1400 hosts", "s", "ready_s",
               Kind::kProcessStart);
  by_processes("discovery calls in an outage of 4 s", "calls", "outage_calls", Kind::kOutage);
  by_processes("discovery bytes out after its return, 200 hosts", "bytes", "bytes_out",
               Kind::kOutage);
  by_processes("time until all have asked after its return", "s", "ready_s", Kind::kOutage);
  return result;
}

}  // namespace balancer::testbed::scale

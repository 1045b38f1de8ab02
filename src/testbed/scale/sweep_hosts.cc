// Cost of listed hosts to a real process: resident memory and CPU time until the first list is
// applied, and after changes that replace hosts.
#include "testbed/scale/balancer_processes.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

constexpr Duration kReadyTimeout = std::chrono::seconds(60);
constexpr Duration kListTimeout = std::chrono::seconds(10);

// Returns a row: whether one process has applied a list of `hosts` hosts, its usage then, and its
// usage after `changes` changes.
std::vector<double> measure(const SweepOptions& options, int hosts, int changes,
                            std::uint64_t seed) {
  DiscoveryService discovery(hosts, 1, seed);
  BalancerProcesses::Settings settings;
  settings.seed = seed;
  BalancerProcesses process(options, discovery, settings);
  if (!process.start(kReadyTimeout)) throw std::runtime_error("the balancer did not come up");
  // Discovery's responses are counted even if the balancer cannot apply them.
  const bool listed = process.run_until([&] { return discovery.listed() == 1; }, kListTimeout);
  const auto first = process.usage();
  const auto initial = discovery.usage();
  constexpr double kChangesPerSecond = 200;
  if (listed) {
    discovery.begin_changes(kChangesPerSecond);
    process.run_for(from_seconds(changes / kChangesPerSecond));
    discovery.stop_changes();
    process.run_until([&] { return discovery.outstanding() == 0; }, kReadyTimeout);
  }
  const auto last = process.usage();
  const auto used = discovery.usage().since(initial);
  return {static_cast<double>(hosts),
          static_cast<double>(seed),
          static_cast<double>(listed),
          static_cast<double>(initial.whole_lists),
          static_cast<double>(initial.bytes_out),
          first.resident_mb,
          first.cpu_ms,
          static_cast<double>(first.descriptors),
          static_cast<double>(used.changes),
          last.resident_mb,
          last.cpu_ms - first.cpu_ms};
}

}  // namespace

SweepResult sweep_hosts(const SweepOptions& options) {
  SweepResult result{
      "hosts",
      Table({"hosts", "seed", "listed", "whole_lists", "bytes_out", "resident_mb", "start_cpu_ms",
             "descriptors", "changes", "resident_after_mb", "changes_cpu_ms"}),
      {}};
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{50, 400} : std::vector<int>{50, 200, 800, 1400, 3200, 6000};
  for (const int hosts : sizes)
    for (const std::uint64_t seed : options.seeds) {
      result.table.add(measure(options, hosts, options.quick ? 20 : 600, seed));
      report_progress(options, "hosts: %d, seed %llu", hosts,
                      static_cast<unsigned long long>(seed));
    }
  const Table& t = result.table;
  const auto listed = [&t](std::size_t row) { return t.at(row, "listed") == 1; };
  const auto by_hosts = [&](const std::string& what, const std::string& unit,
                            const std::string& column) {
    result.fit(
        what, "listed hosts", unit,
        [&t, column](std::size_t row) {
          return Point{t.at(row, "hosts"), t.at(row, column)};
        },
        listed);
  };
  by_hosts("resident memory", "MB", "resident_mb");
  by_hosts("resident memory after 600 changes", "MB", "resident_after_mb");
  by_hosts("CPU of a start with its first list", "CPU ms", "start_cpu_ms");
  return result;
}

}  // namespace balancer::testbed::scale

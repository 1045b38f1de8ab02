// Cost of host list changes to a balancer and to discovery, with one watch call for each change:
// bytes, calls and CPU time by changes per second, by listed hosts and by balancers, and the time
// until the last balancer has applied a change.
#include <algorithm>

#include "testbed/scale/control_plane.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

// The hosts of one region of the size to design for, and of all regions; one size between and one
// above.
constexpr int kAllHosts = 1400;
constexpr std::initializer_list<int> kHosts{28, 200, kAllHosts, 3200};

constexpr Duration kReadyTimeout = std::chrono::seconds(60);
// Above the longest backoff of a balancer whose watch has broken.
constexpr Duration kReconnectTimeout = std::chrono::seconds(3);
// Time from a balancer's call for a list until it has read the list and sent its next watch.
constexpr Duration kListReadTime = std::chrono::milliseconds(50);

struct ChangeRun {
  bool asked = false;
  int hosts = 0, balancers = 1;
  double changes_per_second = 0;
  int burst = 0;   // number of changes at once, instead of a rate
  int breaks = 0;  // number of times that all watches are broken
  Duration length{0};
};

const std::vector<std::string> kColumns{"asked",
                                        "hosts",
                                        "balancers",
                                        "rate_per_s",
                                        "burst",
                                        "breaks",
                                        "seed",
                                        "seconds",
                                        "changes",
                                        "calls",
                                        "whole_lists",
                                        "bytes_in",
                                        "bytes_out",
                                        "balancer_cpu_ms",
                                        "discovery_cpu_ms",
                                        "in_force",
                                        "in_force_p50_ms",
                                        "in_force_p99_ms",
                                        "in_force_max_ms",
                                        "outstanding"};

// Waits until all balancers have a list, applies the changes of `run`, and measures until the last
// balancer has applied them.
class ChangeMeasurement {
 public:
  ChangeMeasurement(const ChangeRun& run, std::uint64_t seed)
      : run_(run),
        seed_(seed),
        discovery_(run.hosts, run.balancers, seed),
        balancers_(discovery_, run.balancers, run.asked, seed) {}

  std::vector<double> row() {
    if (!balancers_.run_until([this] { return discovery_.listed() == run_.balancers; },
                              kReadyTimeout))
      throw std::runtime_error(std::to_string(run_.balancers - discovery_.listed()) +
                               " balancers got no list of " + std::to_string(run_.hosts) +
                               " hosts");
    const auto before = discovery_.usage();
    const Duration cpu_before = thread_cpu_time();
    const auto began = std::chrono::steady_clock::now();
    apply_changes();
    const Duration cpu = thread_cpu_time() - cpu_before;
    const Duration length = std::chrono::steady_clock::now() - began;
    const auto used = discovery_.usage().since(before);
    const Histogram in_force = discovery_.take_propagation_delays();
    return {static_cast<double>(run_.asked),
            static_cast<double>(run_.hosts),
            static_cast<double>(run_.balancers),
            run_.changes_per_second,
            static_cast<double>(run_.burst),
            static_cast<double>(run_.breaks),
            static_cast<double>(seed_),
            seconds(length),
            static_cast<double>(used.changes),
            static_cast<double>(used.calls),
            static_cast<double>(used.whole_lists),
            static_cast<double>(used.bytes_in),
            static_cast<double>(used.bytes_out),
            millis(cpu),
            millis(used.cpu),
            static_cast<double>(in_force.count()),
            millis(in_force.percentile(0.5)),
            millis(in_force.percentile(0.99)),
            millis(in_force.max()),
            static_cast<double>(discovery_.outstanding())};
  }

 private:
  void apply_changes() {
    for (int i = 0; i < run_.breaks; ++i) break_once();
    if (run_.burst > 0) discovery_.publish(run_.burst);
    discovery_.begin_changes(run_.changes_per_second);
    balancers_.run_for(run_.length);
    discovery_.stop_changes();
    balancers_.run_until([this] { return discovery_.outstanding() == 0; }, kReadyTimeout);
  }
  // Breaks the watches of all balancers. Retries, because a balancer that is between two calls has
  // no watch to break.
  void break_once() {
    const auto target = discovery_.usage().whole_lists + static_cast<std::uint64_t>(run_.balancers);
    const auto done = [&] { return discovery_.usage().whole_lists >= target; };
    constexpr int kTries = 10;
    for (int i = 0; i < kTries && !done(); ++i) {
      discovery_.break_watches();
      balancers_.run_until(done, kReconnectTimeout);
    }
    if (!done()) throw std::runtime_error("a balancer did not ask for the whole list");
    balancers_.run_for(kListReadTime);
  }

  const ChangeRun run_;
  const std::uint64_t seed_;
  DiscoveryService discovery_;
  InProcessBalancers balancers_;
};

std::vector<ChangeRun> full_runs() {
  using std::chrono::milliseconds;
  std::vector<ChangeRun> runs;
  // One balancer, by changes per second and by listed hosts.
  for (const bool asked : {false, true})
    for (const int hosts : kHosts)
      for (const double rate : {0.0, 10.0, 20.0, 40.0, 80.0}) {
        if (asked && hosts != kAllHosts) continue;
        runs.push_back({asked, hosts, 1, rate, 0, 0, milliseconds(2000)});
      }
  for (const int hosts : kHosts) runs.push_back({false, hosts, 1, 0, 0, 6, milliseconds(0)});
  // By balancers: calls and CPU time at discovery, and the time until the last balancer is up to
  // date.
  for (const int balancers : {25, 50, 100, 200, 400})
    runs.push_back({false, 200, balancers, 5, 0, 0, milliseconds(2000)});
  return runs;
}

std::vector<ChangeRun> quick_runs() {
  using std::chrono::milliseconds;
  return {
      {false, 50, 1, 0, 0, 0, milliseconds(300)},   {false, 50, 1, 40, 0, 0, milliseconds(300)},
      {true, 50, 1, 40, 0, 0, milliseconds(300)},   {false, 400, 1, 40, 0, 0, milliseconds(300)},
      {false, 50, 10, 20, 0, 0, milliseconds(300)}, {false, 50, 1, 0, 0, 1, milliseconds(0)},
      {false, 400, 1, 0, 0, 1, milliseconds(0)},    {false, 400, 1, 0, 100, 0, milliseconds(0)},
  };
}

// Fits the costs of one balancer and returns its CPU time per change in ms.
double fit_one_balancer(SweepResult& result, bool asked, int hosts) {
  const Table& t = result.table;
  const auto chosen = [&t, asked, hosts](std::size_t row) {
    return t.at(row, "asked") == asked && t.at(row, "hosts") == hosts &&
           t.at(row, "balancers") == 1 && t.at(row, "breaks") == 0 && t.at(row, "burst") == 0;
  };
  const std::string where =
      std::string(asked ? "asked" : "pushed") + ", " + std::to_string(hosts) + " hosts";
  const auto by_rate = [&](const std::string& what, const std::string& unit,
                           const std::string& column) {
    result.fit(
        what + ", " + where, "changes a second", unit,
        [&t, column](std::size_t row) {
          return Point{t.at(row, "changes") / t.at(row, "seconds"),
                       t.at(row, column) / t.at(row, "seconds")};
        },
        chosen);
  };
  by_rate("balancer CPU per change", "CPU ms a second", "balancer_cpu_ms");
  const double cpu_of_a_change = result.fits.back().line.slope;
  by_rate("calls per change", "calls a second", "calls");
  by_rate("bytes in per change", "bytes a second to the balancer", "bytes_out");
  by_rate("bytes out per change", "bytes a second from the balancer", "bytes_in");
  return cpu_of_a_change;
}

void fit_whole_lists(SweepResult& result) {
  const Table& t = result.table;
  const auto chosen = [&t](std::size_t row) { return t.at(row, "breaks") > 0; };
  const auto by_hosts = [&](const std::string& what, const std::string& unit,
                            const std::string& column) {
    result.fit(
        what, "listed hosts", unit,
        [&t, column](std::size_t row) {
          return Point{t.at(row, "hosts"), t.at(row, column) / t.at(row, "whole_lists")};
        },
        chosen);
  };
  by_hosts("bytes of a whole list per host", "bytes a whole list", "bytes_out");
  by_hosts("balancer CPU of a whole list per host", "CPU ms a whole list", "balancer_cpu_ms");
}

void fit_rest_by_hosts(SweepResult& result) {
  const Table& t = result.table;
  const auto pushed_to_one = [&t](std::size_t row) {
    return t.at(row, "asked") == 0 && t.at(row, "balancers") == 1 && t.at(row, "breaks") == 0 &&
           t.at(row, "burst") == 0;
  };
  result.fit(
      "balancer CPU at rest by listed hosts", "listed hosts", "CPU ms a second",
      [&t](std::size_t row) {
        return Point{t.at(row, "hosts"), t.at(row, "balancer_cpu_ms") / t.at(row, "seconds")};
      },
      [&t, pushed_to_one](std::size_t row) {
        return pushed_to_one(row) && t.at(row, "rate_per_s") == 0;
      });
}

void fit_by_balancers(SweepResult& result) {
  const Table& t = result.table;
  const auto chosen = [&t](std::size_t row) { return t.at(row, "balancers") > 1; };
  const auto by_balancers = [&](const std::string& what, const std::string& unit,
                                const std::function<double(std::size_t)>& value) {
    result.fit(
        what, "balancers", unit,
        [&t, value](std::size_t row) {
          return Point{t.at(row, "balancers"), value(row)};
        },
        chosen);
  };
  by_balancers("discovery calls per change and balancer", "calls a change",
               [&t](std::size_t row) { return t.at(row, "calls") / t.at(row, "changes"); });
  by_balancers("discovery bytes out per change and balancer", "bytes a change",
               [&t](std::size_t row) { return t.at(row, "bytes_out") / t.at(row, "changes"); });
  by_balancers(
      "discovery CPU per change and balancer (stand-in)", "CPU ms a change",
      [&t](std::size_t row) { return t.at(row, "discovery_cpu_ms") / t.at(row, "changes"); });
  by_balancers("time to in force at the last balancer, p99, per balancer", "ms",
               [&t](std::size_t row) { return t.at(row, "in_force_p99_ms"); });
}

SweepResult run_all(const char* name, const std::vector<ChangeRun>& runs,
                    const SweepOptions& options) {
  SweepResult result{name, Table(kColumns), {}};
  for (const ChangeRun& run : runs)
    for (const std::uint64_t seed : options.seeds) {
      result.table.add(ChangeMeasurement(run, seed).row());
      report_progress(options,
                      "%s: %s, %d hosts, %d balancers, %.0f changes a second, burst %d, "
                      "%d breaks, seed %llu",
                      name, run.asked ? "asked" : "pushed", run.hosts, run.balancers,
                      run.changes_per_second, run.burst, run.breaks,
                      static_cast<unsigned long long>(seed));
    }
  return result;
}

}  // namespace

SweepResult sweep_bursts(const SweepOptions& options) {
  std::vector<ChangeRun> runs;
  for (const int burst : {10, 50, 200, 1000})
    runs.push_back({false, kAllHosts, 1, 0, burst, 0, std::chrono::milliseconds(0)});
  SweepResult result = run_all("bursts", runs, options);
  const Table& t = result.table;
  const auto by_changes = [&](const std::string& what, const std::string& unit,
                              const std::string& column) {
    result.fit(
        what, "changed hosts", unit,
        [&t, column](std::size_t row) {
          return Point{t.at(row, "changes"), t.at(row, column)};
        },
        [](std::size_t) { return true; });
  };
  by_changes("bytes to a balancer of a changed host in a burst, 1400 hosts", "bytes", "bytes_out");
  by_changes("balancer CPU of a changed host in a burst, 1400 hosts", "CPU ms", "balancer_cpu_ms");
  by_changes("calls of a burst", "calls", "calls");
  by_changes("time until a burst is in force", "ms", "in_force_max_ms");
  return result;
}

SweepResult sweep_changes(const SweepOptions& options) {
  SweepResult result = run_all("changes", options.quick ? quick_runs() : full_runs(), options);
  if (options.quick) return result;
  std::vector<Point> cpu_of_a_change;
  for (const int hosts : kHosts)
    cpu_of_a_change.push_back({static_cast<double>(hosts), fit_one_balancer(result, false, hosts)});
  fit_one_balancer(result, true, kAllHosts);
  result.fits.push_back({"balancer CPU of a change by listed hosts", "listed hosts",
                         "CPU ms a change", cpu_of_a_change, fit_line(cpu_of_a_change)});
  fit_rest_by_hosts(result);
  fit_whole_lists(result);
  fit_by_balancers(result);
  return result;
}

}  // namespace balancer::testbed::scale

// Origin fetches by number of balancers, in simulated time: the same clients and hosts, whose
// stores are flushed once, with the requests distributed among more and more balancers. Fetches in
// excess of those of a single balancer are repeated: another balancer was already fetching the same
// key.
#include <cstdint>

#include "fleet_simulation/plant.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

struct OriginLoad {
  double rate = 0;  // requests a second
  int read_ms = 0;  // the origin's service time of a fetch
};

// Reads only, with ample capacity at hosts and origin, so that runs differ only in the balancers.
Scenario origin_scenario(int balancers, const OriginLoad& load, std::uint64_t seed, bool quick) {
  return parse_scenario(
      "name = \"origin\"\nwarm_up_s = 1\nlength_s = " + std::string(quick ? "4" : "14") +
          "\nseed = " + std::to_string(seed) +
          "\n[balancers]\ncount = " + std::to_string(balancers) +
          "\n[[class]]\nname = \"read\"\nwork_ms = 1\naim_ms = 300\n"
          "deadline_ms = 2000\n"
          "[[kind]]\nname = \"std\"\ncount = 8\ncores = 8\nslots = 64\n"
          "[origin]\ncores = 256\nslots = 1024\nread_ms = " +
          std::to_string(load.read_ms) + "\n[load]\nrate = " + std::to_string(load.rate) +
          "\nkeys = 2000\n"
          "[[incident]]\nwhat = \"flush\"\nat_s = 2\n",
      "origin.toml");
}

struct OriginCost {
  double fetches = 0, tries = 0;
};

OriginCost measure(int balancers, const OriginLoad& load, std::uint64_t seed, bool quick) {
  const Scenario scenario = origin_scenario(balancers, load, seed, quick);
  fleet_simulation::Plant plant(scenario, {});
  plant.run();
  OriginCost cost;
  for (const fleet_simulation::Sample& sample : plant.samples()) cost.fetches += sample.fetches;
  cost.tries = static_cast<double>(plant.tries());
  return cost;
}

// With n balancers that share requests evenly, the next request for a key that is being fetched
// reaches another balancer with probability 1 - 1/n. Repeated fetches therefore grow with 1 - 1/n,
// not with n.
void fit_other_balancers(SweepResult& result, const OriginLoad& load) {
  const Table& t = result.table;
  result.fit(
      "repeated share of fetches, " + std::to_string(static_cast<int>(load.rate)) +
          " requests a second, fetch of " + std::to_string(load.read_ms) + " ms",
      "1 - 1/balancers", "share",
      [&t](std::size_t row) {
        return Point{1 - 1 / t.at(row, "balancers"), t.at(row, "repeated_share")};
      },
      [&t, load](std::size_t row) {
        return t.at(row, "rate_per_s") == load.rate && t.at(row, "read_ms") == load.read_ms;
      });
}

}  // namespace

SweepResult sweep_origin(const SweepOptions& options) {
  SweepResult result{"origin",
                     Table({"balancers", "rate_per_s", "read_ms", "seed", "tries", "fetches",
                            "fetches_of_one_balancer", "repeated_share"}),
                     {}};
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{1, 4, 16} : std::vector<int>{1, 2, 4, 8, 12, 16, 32, 64};
  const std::vector<OriginLoad> loads =
      options.quick
          ? std::vector<OriginLoad>{{300, 30}}
          : std::vector<OriginLoad>{{150, 30}, {600, 30}, {2400, 30}, {600, 240}, {2400, 240}};
  for (const OriginLoad& load : loads)
    for (const std::uint64_t seed : options.seeds) {
      double single_balancer_fetches = 0;
      for (const int balancers : sizes) {
        const OriginCost cost = measure(balancers, load, seed, options.quick);
        if (balancers == 1) single_balancer_fetches = cost.fetches;
        result.table.add({static_cast<double>(balancers), load.rate,
                          static_cast<double>(load.read_ms), static_cast<double>(seed), cost.tries,
                          cost.fetches, single_balancer_fetches,
                          (cost.fetches - single_balancer_fetches) / cost.fetches});
        report_progress(options, "origin: %d balancers, %.0f requests a second, %d ms, seed %llu",
                        balancers, load.rate, load.read_ms, static_cast<unsigned long long>(seed));
      }
    }
  for (const OriginLoad& load : loads) fit_other_balancers(result, load);
  return result;
}

}  // namespace balancer::testbed::scale

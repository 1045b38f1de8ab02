// Fetches of the origin by number of balancers, in simulated time: the same clients and hosts,
// whose stores are lost once, with the requests dealt out among more and more balancers. Beyond
// what one balancer needs, a fetch is a repeated one: another balancer had the same key on its way.
#include <cstdint>

#include "model/plant.h"
#include "rig/scale/sweep.h"

namespace silverpin::rig::scale {
namespace {

// Only reads; neither hosts nor the origin are short, so that nothing but balancers differs.
Scenario origin_scenario(int balancers, double rate, std::uint64_t seed, bool quick) {
  return parse_scenario("name = \"origin\"\nwarm_up_s = 1\nlength_s = " +
                            std::string(quick ? "4" : "14") + "\nseed = " + std::to_string(seed) +
                            "\n[balancers]\ncount = " + std::to_string(balancers) +
                            "\n[[class]]\nname = \"read\"\nwork_ms = 1\naim_ms = 300\n"
                            "deadline_ms = 2000\n"
                            "[[kind]]\nname = \"std\"\ncount = 8\ncores = 8\nslots = 64\n"
                            "[origin]\ncores = 64\nslots = 256\nread_ms = 30\n"
                            "[load]\nrate = " +
                            std::to_string(rate) +
                            "\nkeys = 2000\n"
                            "[[incident]]\nwhat = \"flush\"\nat_s = 2\n",
                        "origin.toml");
}

struct OriginCost {
  double fetches = 0, tries = 0;
};

OriginCost measure(int balancers, double rate, std::uint64_t seed, bool quick) {
  const Scenario scenario = origin_scenario(balancers, rate, seed, quick);
  model::Plant plant(scenario, {});
  plant.run();
  OriginCost cost;
  for (const model::Sample& sample : plant.samples()) cost.fetches += sample.fetches;
  cost.tries = static_cast<double>(plant.tries());
  return cost;
}

}  // namespace

SweepResult sweep_origin(const SweepOptions& options) {
  SweepResult result{"origin",
                     Table({"balancers", "rate_per_s", "seed", "tries", "fetches",
                            "fetches_of_one_balancer", "repeated_share"}),
                     {}};
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{1, 4, 16} : std::vector<int>{1, 2, 4, 8, 12, 16, 32, 64};
  const std::vector<double> rates =
      options.quick ? std::vector<double>{300} : std::vector<double>{150, 600, 2400};
  for (const double rate : rates)
    for (const std::uint64_t seed : options.seeds) {
      double alone = 0;
      for (const int balancers : sizes) {
        const OriginCost cost = measure(balancers, rate, seed, options.quick);
        if (balancers == 1) alone = cost.fetches;
        result.table.add({static_cast<double>(balancers), rate, static_cast<double>(seed),
                          cost.tries, cost.fetches, alone, (cost.fetches - alone) / cost.fetches});
        report_progress(options, "origin: %d balancers, %.0f requests a second, seed %llu",
                        balancers, rate, static_cast<unsigned long long>(seed));
      }
    }
  const Table& t = result.table;
  for (const double rate : rates)
    result.fit(
        "fetches at " + std::to_string(static_cast<int>(rate)) + " requests a second", "balancers",
        "fetches beside those of one balancer",
        [&t](std::size_t row) {
          return Point{t.at(row, "balancers"),
                       t.at(row, "fetches") / t.at(row, "fetches_of_one_balancer")};
        },
        [&t, rate](std::size_t row) { return t.at(row, "rate_per_s") == rate; });
  return result;
}

}  // namespace silverpin::rig::scale

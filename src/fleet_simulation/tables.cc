#include "fleet_simulation/tables.h"

#include <algorithm>
#include <cstdio>

#include "fleet_simulation/bound.h"
#include "testbed/audit/service.h"

namespace balancer::fleet_simulation {
namespace {

template <typename... T>
void add(std::string& out, const char* format, T... values) {
  char line[256];
  std::snprintf(line, sizeof line, format, values...);
  out += line;
}

void by_time(std::string& out, const Plant& plant) {
  add(out, "%6s %6s | %6s %6s %6s %6s | %5s %5s %6s %6s %5s | %5s %6s %6s %5s %5s\n", "s", "worth",
      "origin", "least", "most", "caches", "fetch", "write", "mean", "worst", "queue", "tries",
      "early", "later", "fail", "busy");
  const auto worth = testbed::worth_by_second(plant.tally().by_second());
  for (const Sample& s : plant.samples()) {
    const auto second = static_cast<std::size_t>(std::max(0.0, seconds(s.at) - 0.25));
    add(out,
        "%6.1f %6.1f | %6.2f %6.2f %6.2f %6.2f | %5d %5d %6.0f %6.0f %5zu | %5d %6d %6d %5d "
        "%5.2f\n",
        seconds(s.at), 100 * (second < worth.size() ? worth[second] : 0), s.origin_admit_fraction,
        s.origin_fraction_min, s.origin_fraction_max, s.caches_admit_fraction, s.fetches, s.writes,
        1e3 * s.mean_fetch_time, 1e3 * s.max_fetch_time, s.origin_queue, s.tries,
        s.refused_on_arrival, s.refused_later, s.failed, s.caches_busy);
  }
}

// For each incident of increased demand of at least 4 s: adds the worth served from its third
// second on, compared to the upper bound.
void compare_with_bound(std::string& out, const testbed::Scenario& scenario, const Plant& plant) {
  for (const testbed::IncidentSpec& i : scenario.incidents) {
    if (i.what != testbed::What::kDemand || i.length < std::chrono::seconds(4)) continue;
    const Time from = i.at + std::chrono::seconds(2), to = i.at + i.length;
    const auto& by_second = plant.tally().by_second();
    double asked = 0, served = 0;
    for (auto s = static_cast<std::size_t>(seconds(from));
         s < std::min(by_second.size(), static_cast<std::size_t>(seconds(to))); ++s) {
      asked += by_second[s].worth_asked;
      served += by_second[s].worth_served;
    }
    const double served_fraction = asked > 0 ? served / asked : 1,
                 bound = max_worth(scenario, from, to);
    add(out,
        "       demand from %.0f to %.0f s: worth %.1f of the %.1f at most that could be had: "
        "%.0f%%\n",
        seconds(from), seconds(to), 100 * served_fraction, 100 * bound,
        100 * served_fraction / bound);
  }
}

}  // namespace

std::string table(testbed::Scenario scenario, const TableOptions& options) {
  std::string out;
  Time first = scenario.length, last{0};
  for (const testbed::IncidentSpec& i : scenario.incidents) {
    first = std::min(first, i.at);
    last = std::max(last, i.at + (i.what == testbed::What::kDemand ? i.length : Duration{0}));
  }
  const int at = static_cast<int>(seconds(first)), end = static_cast<int>(seconds(scenario.length));
  for (int n = 0; n < options.seeds; ++n, ++scenario.seed) {
    Plant plant(scenario, options.plant);
    plant.run();
    if (n == 0 && options.by_time) by_time(out, plant);
    if (n == 0)
      out +=
          "  seed before worst first5 area  full  swing | served: lookups writes  tries/call "
          "attempts/try fallen\n";
    const auto worth = testbed::worth_by_second(plant.tally().by_second());
    const testbed::Service s =
        testbed::service_after(worth, static_cast<int>(seconds(scenario.warm_up)), at, end);
    double asked[2] = {0, 0}, served[2] = {0, 0}, calls = 0;
    for (std::size_t c = 0; c < scenario.classes.size(); ++c) {
      const auto& g = plant.tally().classes()[c];
      const int w = scenario.classes[c].write() ? 1 : 0;
      asked[w] += g.worth_asked;
      served[w] += g.worth_served;
      calls += static_cast<double>(g.asked);
    }
    add(out, "%6llu %6.1f %5.1f %6.1f %4.1f %5s %6.1f | %15.1f %6.1f %11.2f %12.2f %6d\n",
        static_cast<unsigned long long>(scenario.seed), 100 * s.before, 100 * s.worst,
        100 * s.first_five, s.area, s.full_after ? std::to_string(*s.full_after).c_str() : "never",
        100 * testbed::swing(worth, at + 5, std::max(at + 20, static_cast<int>(seconds(last)))),
        100 * served[0] / std::max(1.0, asked[0]), 100 * served[1] / std::max(1.0, asked[1]),
        static_cast<double>(plant.tries()) / std::max(1.0, calls),
        static_cast<double>(plant.attempts()) / std::max(1.0, static_cast<double>(plant.tries())),
        plant.fallen());
    compare_with_bound(out, scenario, plant);
  }
  return out;
}

}  // namespace balancer::fleet_simulation

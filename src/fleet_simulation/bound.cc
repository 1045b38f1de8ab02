#include "fleet_simulation/bound.h"

#include <algorithm>

#include "testbed/model/arrivals.h"

namespace balancer::fleet_simulation {

double max_worth(const testbed::Scenario& scenario, Time from, Time to) {
  double host_capacity = 0;  // capacity of the hosts: seconds of work on hits per second
  testbed::Random speeds(scenario.seed, 1);
  for (const testbed::KindSpec& kind : scenario.kinds)
    for (int i = 0; i < kind.count; ++i) host_capacity += kind.host.cores * kind.speed.draw(speeds);

  testbed::Arrivals arrivals(scenario);
  double reads = 0, read_work = 0, read_worth = 0, write_worth = 0, origin_write_time = 0;
  Duration max_latency_objective{0};
  for (testbed::Wish w = arrivals.next(); w.due < std::min(to, scenario.length);
       w = arrivals.next()) {
    if (w.due < from) continue;
    const testbed::ClassSpec& c = scenario.classes[static_cast<std::size_t>(w.request_class)];
    const double worth = c.worth * w.work / (1e-3 * c.work_ms);
    if (c.write()) {
      write_worth += worth;
      origin_write_time += 1e-3 * scenario.origin.write_ms;
    } else {
      ++reads;
      read_work += w.work;
      read_worth += worth;
      max_latency_objective = std::max(max_latency_objective, c.aim);
    }
  }
  if (read_worth + write_worth <= 0) return 1;
  const testbed::HostSpec& origin = scenario.origin.host;
  const double origin_capacity = origin.cores * origin.speed * seconds(to - from);
  const double writes_share = std::min(1.0, origin_capacity / std::max(origin_write_time, 1e-9));
  const double origin_time_left = std::max(0.0, origin_capacity - origin_write_time);
  const double span = seconds(to - from) + seconds(max_latency_objective);
  // Each fetch relieves the hosts of one request of mean work.
  const double fetches = std::min(reads, origin_time_left / (1e-3 * scenario.origin.read_ms));
  const double by_hosts = std::min(read_work, host_capacity * span);
  const double share = reads > 0 ? std::min(1.0, by_hosts / read_work + fetches / reads) : 1;
  return (share * read_worth + writes_share * write_worth) / (read_worth + write_worth);
}

}  // namespace balancer::fleet_simulation

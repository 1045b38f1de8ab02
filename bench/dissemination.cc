// Simulates the dissemination of changes to all balancers under one simulated clock, with the real
// module. Prints times, bytes and messages by role, and the computed cost of polling for the same
// changes.
//
//   cmake --build build --target balancer_bench_dissemination
//   build/balancer_bench_dissemination [MEMBERS [SITES [REGIONS [SECONDS [SEED [LOSS [DAY]]]]]]]
//
// Without arguments: 11,000 members, 870 sites, 49 regions, 60 s, seed 1, no loss, no failures.
// With DAY above 0: 2,400 restarts and 44 failures (five minutes each) per day, both multiplied by
// DAY. In addition, one site and later one region are partitioned from the network, each for a
// fifth of the run (five minutes at most).
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>

#include "../tests/dissemination_sim.h"

namespace {

using namespace balancer;
using namespace balancer::dissemination;

struct Spread {
  double median = 0, p99 = 0, max = 0;
};
Spread spread(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double q) {
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
  };
  return {at(0.5), at(0.99), at(1)};
}
void print(const char* what, const Spread& s, const char* unit) {
  std::printf("  %-44s p50 %9.1f  p99 %9.1f  max %9.1f %s\n", what, s.median, s.p99, s.max, unit);
}
void print(const char* what, const LatencyCounts& counts) {
  std::printf("  %-44s p50 %9zu  p99 %9zu  max %9zu ms (%llu)\n", what, counts.quantile(0.5),
              counts.quantile(0.99), counts.quantile(1),
              static_cast<unsigned long long>(counts.total()));
}

// Prints the computed (not simulated) cost of polling: one call per member and period, answered
// with the new changes. The bytes of a call are those of an HTTP request and response with their
// TCP segments.
void print_polling(double period, double members, double entry_bytes_per_second) {
  constexpr double kCallBytes = 700;
  const double bytes = kCallBytes / period + entry_bytes_per_second;
  std::printf("  polls every %.3f s: %.0f bytes/s a member, %.0f calls/s in all, %.2f s at most\n",
              period, bytes, members / period, period + 0.24);
}

// Schedules failures, and measures the time until members that return are current.
class Day {
 public:
  Day(DisseminationSim& sim, double length, double factor)
      : sim_(sim), end_(sim.now() + from_seconds(length)) {
    if (factor <= 0) return;
    each(2400 * factor, [this] {
      const int m = random_member();
      sim_.restart(m, sim_.random()() % 4 == 0);
      watch(m, sim_.now());
    });
    each(44 * factor, [this] {
      const int m = random_member();
      sim_.kill(m);
      sim_.after(std::chrono::minutes(5), [this, m] {
        sim_.restart(m, true);
        watch(m, sim_.now());
      });
    });
    const Duration outage = std::min<Duration>(from_seconds(length / 5), std::chrono::minutes(5));
    cut(from_seconds(length * 0.2), outage, sim_.of_site(7), 1);
    cut(from_seconds(length * 0.6), outage, sim_.of_region(3), 2);
  }
  LatencyCounts recovered;

 private:
  int random_member() {
    return static_cast<int>(sim_.random()() % static_cast<unsigned>(sim_.size()));
  }
  void each(double a_day, const std::function<void()>& happens) {
    const Duration gap =
        from_seconds(std::exponential_distribution<>(a_day / 86400)(sim_.random()));
    if (sim_.now() + gap > end_) return;
    sim_.after(gap, [this, a_day, happens] {
      happens();
      each(a_day, happens);
    });
  }
  void cut(Duration begin, Duration length, const std::vector<int>& members, int part) {
    sim_.after(begin, [this, members, part] {
      for (int m : members) sim_.set_part(m, part);
    });
    sim_.after(begin + length, [this, members] {
      for (int m : members) {
        sim_.set_part(m, 0);
        watch(m, sim_.now());
      }
    });
  }
  // Measures the time until the member has all changes that were sent before it returned, and
  // receives new changes.
  void watch(int m, Time since) {
    const auto heads = sim_.source()->state().heads;
    watch(m, since, heads);
  }
  void watch(int m, Time since, const PerChannel<Sequence>& heads) {
    sim_.after(std::chrono::milliseconds(100), [this, m, since, heads] {
      const Replica* replica = sim_.replica(m);
      if (!replica) return;
      const bool has_all = replica->cursor(Channel::kPurge).sequence >= heads[0] &&
                           replica->cursor(Channel::kConfiguration).sequence >= heads[1];
      if (has_all && replica->freshness(sim_.now()).purges_complete)
        recovered.add(sim_.now() - since);
      else
        watch(m, since, heads);
    });
  }

  DisseminationSim& sim_;
  const Time end_;
};

}  // namespace

int main(int argc, char** argv) {
  const auto argument = [&](int i, double otherwise) {
    return argc > i ? std::atof(argv[i]) : otherwise;
  };
  DisseminationSim::Shape shape;
  shape.members = static_cast<int>(argument(1, 11000));
  shape.sites = static_cast<int>(argument(2, 870));
  shape.regions = static_cast<int>(argument(3, 49));
  const double length = argument(4, 60);
  const auto seed = static_cast<std::uint64_t>(argument(5, 1));
  DisseminationSim sim(seed, shape);
  sim.run(std::chrono::seconds(5));
  sim.faults.loss = argument(6, 0);
  const int source = shape.members;
  std::vector<DisseminationSim::Traffic> before;
  for (int m = 0; m <= source; ++m) before.push_back(sim.traffic(m));
  sim.load(from_seconds(length));
  Day day(sim, length, argument(7, 0));
  sim.run(from_seconds(length));
  std::vector<double> all, in, out, messages, region_relays;
  for (int m = 0; m < source; ++m) {
    const auto& t = sim.traffic(m);
    const auto& b = before[static_cast<std::size_t>(m)];
    all.push_back(static_cast<double>(t.bytes() - b.bytes()) / length);
    in.push_back(static_cast<double>(t.received_bytes - b.received_bytes) / length);
    out.push_back(static_cast<double>(t.sent_bytes - b.sent_bytes) / length);
    messages.push_back(static_cast<double>(t.sent + t.received - b.sent - b.received) / length);
  }
  for (const auto& region : sim.tree().regions())
    for (std::uint32_t stripe = 0; stripe < shape.stripes; ++stripe)
      region_relays.push_back(all[static_cast<std::size_t>(
          sim.index_of(sim.tree().region_relays(region, stripe).relay))]);
  const auto& t = sim.traffic(source);
  const auto& b = before.back();
  const auto applied_purges = sim.applied[0], applied_configuration = sim.applied[1];
  const bool settled = sim.run_until([&] { return sim.all_current(); }, std::chrono::seconds(15));
  sim.audit_watermarks();
  sim.audit_configuration();

  std::printf("%d members, %d sites, %d regions, %.0f s, seed %llu, loss %.3f\n", shape.members,
              shape.sites, shape.regions, length, static_cast<unsigned long long>(seed),
              sim.faults.loss);
  print("purge in force at a member", applied_purges);
  print("purge in force everywhere", sim.everywhere(Channel::kPurge));
  print("configuration in force at a member", applied_configuration);
  print("configuration in force everywhere", sim.everywhere(Channel::kConfiguration));
  print("current again after a restart or cut", day.recovered);
  print("member, sent and received", spread(all), "bytes/s");
  print("  received", spread(in), "bytes/s");
  print("  sent", spread(out), "bytes/s");
  print("  messages, sent and received", spread(messages), "a second");
  print("of these, relays of regions", spread(region_relays), "bytes/s");
  std::printf("  source: %.0f bytes/s out, %.0f in, %.0f messages/s\n",
              static_cast<double>(t.sent_bytes - b.sent_bytes) / length,
              static_cast<double>(t.received_bytes - b.received_bytes) / length,
              static_cast<double>(t.sent + t.received - b.sent - b.received) / length);
  std::printf("  all current at the end: %s; distrusts %llu; snapshots %llu; auditor: %zu errors\n",
              settled ? "yes" : "NO", static_cast<unsigned long long>(sim.distrusts),
              static_cast<unsigned long long>(sim.installs), sim.errors.size());
  for (const auto& error : sim.errors) std::printf("    %s\n", error.c_str());
  const double entry_bytes = 59 * 20.0 + 0.5 * (20.0 + static_cast<double>(sim.value_bytes));
  std::printf("baseline, computed for the same rates:\n");
  print_polling(1 / 59.0, shape.members, entry_bytes);
  print_polling(1, shape.members, entry_bytes);
  print_polling(2.2, shape.members, entry_bytes);
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const double cpu = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec);
  std::printf("%.0f s of CPU, %.0f MB, simulator and all members together\n", cpu,
              static_cast<double>(used.ru_maxrss) / 1024);
  return settled && sim.errors.empty() ? 0 : 1;
}

// Cost of membership and leases to a group member, in simulated time: datagrams and bytes (sealed)
// per second and CPU time, by group size; at rest, and while a tenth of the members is killed and
// restarted.
#include <algorithm>

#include "fleet_simulation/group_sim.h"
#include "proto/seal.h"
#include "testbed/scale/control_plane.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

using group::GroupSim;
using std::chrono::seconds;

constexpr int kAddresses = 1, kVoters = 5;
constexpr Duration kFormationTime = seconds(20);

struct GroupCost {
  double datagrams = 0, bytes = 0, cpu_ms = 0;  // of all members together
};

GroupCost cost_of(GroupSim& sim, Duration length) {
  const std::uint64_t datagrams = sim.datagrams, bytes = sim.bytes;
  const Duration cpu = thread_cpu_time();
  sim.run(length);
  GroupCost cost;
  cost.datagrams = static_cast<double>(sim.datagrams - datagrams);
  cost.bytes = static_cast<double>(sim.bytes - bytes) + group::kSealedOverhead * cost.datagrams;
  cost.cpu_ms = millis(thread_cpu_time() - cpu);
  return cost;
}

// Returns the number of members that `observer` considers alive, including itself.
int alive_for(GroupSim& sim, const std::string& observer) {
  int alive = 0;
  for (const auto& [name, member] : sim.instance(observer)->membership().members())
    alive += member.state == membership::MemberState::kAlive ? 1 : 0;
  return alive;
}

// Returns the smallest number of members that any running member considers alive.
int min_alive(GroupSim& sim) {
  int least = static_cast<int>(sim.names().size());
  for (const std::string& name : sim.names())
    if (sim.instance(name)) least = std::min(least, alive_for(sim, name));
  return least;
}

void kill_and_restart_a_tenth(GroupSim& sim, int members) {
  for (int i = kVoters; i < kVoters + std::max(1, members / 10); ++i) {
    const std::string name = GroupSim::name_of(i);
    sim.kill(name);
    sim.after(seconds(5), [&sim, name] { sim.restart(name); });
  }
}

std::vector<double> measure(int members, bool restarts, std::uint64_t seed, Duration length) {
  GroupSim sim(seed, members, kAddresses, kVoters);
  sim.run(kFormationTime);
  if (restarts) kill_and_restart_a_tenth(sim, members);
  const GroupCost cost = cost_of(sim, length);
  const double member_seconds = members * balancer::testbed::seconds(length);
  return {static_cast<double>(members),
          static_cast<double>(restarts),
          static_cast<double>(seed),
          balancer::testbed::seconds(length),
          cost.datagrams / member_seconds,
          cost.bytes / member_seconds,
          cost.cpu_ms / member_seconds,
          static_cast<double>(sim.max_datagram + group::kSealedOverhead),
          static_cast<double>(min_alive(sim))};
}

void fit_by_members(SweepResult& result, bool restarts) {
  const Table& t = result.table;
  const std::string when = restarts ? ", a tenth restarts" : ", at rest";
  for (const auto& [what, unit, column] :
       {std::tuple{"datagrams sent by a member", "datagrams a second", "datagrams_per_s"},
        std::tuple{"bytes sent by a member", "bytes a second", "bytes_per_s"},
        std::tuple{"CPU of a member", "CPU ms a second", "cpu_ms_per_s"}})
    result.fit(
        what + when, "members", unit,
        [&t, name = std::string(column)](std::size_t row) {
          return Point{t.at(row, "members"), t.at(row, name)};
        },
        [&t, restarts](std::size_t row) { return t.at(row, "restarts") == restarts; });
}

}  // namespace

SweepResult sweep_group(const SweepOptions& options) {
  SweepResult result{"group",
                     Table({"members", "restarts", "seed", "seconds", "datagrams_per_s",
                            "bytes_per_s", "cpu_ms_per_s", "max_datagram", "least_alive"}),
                     {}};
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{7, 13, 26} : std::vector<int>{13, 50, 100, 225, 320};
  const Duration length = options.quick ? seconds(10) : seconds(30);
  for (const bool restarts : {false, true})
    for (const int members : sizes)
      for (const std::uint64_t seed : options.seeds) {
        result.table.add(measure(members, restarts, seed, length));
        report_progress(options, "group: %d members%s, seed %llu", members,
                        restarts ? ", a tenth restarts" : "",
                        static_cast<unsigned long long>(seed));
      }
  for (const bool restarts : {false, true}) fit_by_members(result, restarts);
  return result;
}

}  // namespace balancer::testbed::scale

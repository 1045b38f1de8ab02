#pragma once

#include "structures/time.h"
#include "testbed/model/scenario.h"

namespace balancer::fleet_simulation {

// Returns an upper bound on the fraction of the worth requested in [from, to) that a policy can
// serve if it knows each host's speed, but not the work of a request before it has run. The bound
// assumes that the hosts are always busy with hits only and never slowed down by crowding, that the
// origin spends the time not needed for writes on fetches for requests of mean work, and that no
// work is done for clients that have given up. Work may end one latency objective after `to`.
// Incidents other than demand and bursts are ignored, since they only lower the achievable worth.
// The result is in [0, 1], and 1 if nothing is requested.
double max_worth(const testbed::Scenario& scenario, Time from, Time to);

}  // namespace balancer::fleet_simulation

#pragma once

#include "structures/time.h"
#include "testbed/model/scenario.h"

namespace balancer::fleet_simulation {

// The part of the worth asked for from `from` up to `to` that no policy can exceed which knows each
// host's speed, but not how heavy a request is before it has run: the hosts work all the time and
// uncrowded on hits alone, the origin's time that writes leave goes to fetches of requests as heavy
// as the mean, and nothing is done for those who have gone. Work may end an aim behind `to`.
// Incidents other than demand and bursts are left out: they only lower what can be had.
// In [0, 1]; 1 where nothing is asked for.
double max_worth(const testbed::Scenario& scenario, Time from, Time to);

}  // namespace balancer::fleet_simulation

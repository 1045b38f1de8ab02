#pragma once

#include "rig/model/scenario.h"
#include "structures/time.h"

namespace silverpin::model {

// The part of the worth asked for from `from` up to `to` that no policy can exceed which knows each
// host's speed, but not how heavy a request is before it has run: the hosts work all the time and
// uncrowded on hits alone, the origin's time that writes leave goes to fetches of requests as heavy
// as the mean, and nothing is done for those who have gone. Work may end an aim behind `to`.
// Incidents other than demand and bursts are left out: they only lower what can be had.
// In [0, 1]; 1 where nothing is asked for.
double most_worth(const rig::Scenario& scenario, Time from, Time to);

}  // namespace silverpin::model

#pragma once

#include <cstdint>
#include <string>

namespace balancer::testbed {

// Returns a random scenario as the text of its file, so that it can be run again and reduced by
// hand. It has a small fleet loaded below its capacity, and three to eight incidents of balancers,
// hosts, links, the origin and clients, which may overlap. The text depends on the seed only.
// Situations for which no balancer is responsible are left out: hosts that come and go while
// discovery is down, and fleets of which less than a third remains.
std::string draw_scenario(std::uint64_t seed);

// Returns a short random scenario that consists of restarts: SIGTERM and SIGHUP in series while
// clients use their connections until the kill, and deadlines from 120 ms upwards. Some seeds add a
// crowd of clients that send invalid input to balancers with few sockets, a wall clock that is
// wrong or steps, and failing system calls.
std::string draw_soak(std::uint64_t seed);

}  // namespace balancer::testbed

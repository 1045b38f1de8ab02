#pragma once

#include <cstdint>
#include <string>

namespace balancer::testbed {

// A scenario drawn at random, as the text of its file, so that it can be played again and cut down
// by hand: a small fleet below what it can do, and three to eight troubles of balancers, hosts,
// links, the origin and clients, which overlap as chance has it. One seed, one text. What no
// balancer can be blamed for is left out: news of discovery's that cannot come, and fleets of which
// less than a third is left.
std::string draw_scenario(std::uint64_t seed);

// The same of a short day that is all restarts: SIGTERM and SIGHUP in series while clients use what
// connections they have until the kill, deadlines from 120 ms on, in some seeds a crowd, a wall
// clock that is wrong or steps, and system calls that fail.
std::string draw_soak(std::uint64_t seed);

}  // namespace balancer::testbed

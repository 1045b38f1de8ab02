#pragma once

#include <cstdint>
#include <string>

namespace silverpin::rig {

// A scenario drawn at random, as the text of its file, so that it can be played again and cut down
// by hand: a small fleet below what it can do, and three to eight troubles of balancers, hosts,
// links, the origin and clients, which overlap as chance has it. One seed, one text. What no
// balancer can be blamed for is left out: news of discovery's that cannot come, and fleets of which
// less than a third is left.
std::string draw_scenario(std::uint64_t seed);

}  // namespace silverpin::rig

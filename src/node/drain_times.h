#pragma once

#include <chrono>

namespace balancer::node {

// A drain closes the last connection so long before its end, that a request just read from it can
// still be answered.
inline constexpr std::chrono::milliseconds kLastRequestTime{200};

}  // namespace balancer::node

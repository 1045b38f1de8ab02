#pragma once

#include <chrono>

namespace balancer::node {

// A drain closes the last connection this long before its end, so that a request just read from the
// connection can still be answered.
inline constexpr std::chrono::milliseconds kLastRequestTime{200};

}  // namespace balancer::node

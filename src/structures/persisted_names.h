#pragma once

#include <string_view>

namespace balancer {

// The program's first name. Files of the hot restart are called by it, and a group member without a
// name of its own is known to its peers by it, so that versions find each other's files and
// members.
inline constexpr std::string_view kPersistedProgramName = "silverpin";

}  // namespace balancer

#pragma once

#include <string_view>

// Names that files, peers and operators' commands of earlier versions know.
namespace balancer {

// The program's first name. Files of the hot restart are called by it, and a group member without a
// name of its own is known to its peers by it, so that versions find each other's files and
// members.
inline constexpr std::string_view kPersistedProgramName = "silverpin";

// Variables that operators' commands for announcing an address read: the address, and the term of
// its lease. The commands are the operators' own, and outlive versions of this program.
inline constexpr std::string_view kAddressVariable = "SILVERPIN_ADDRESS";
inline constexpr std::string_view kTermVariable = "SILVERPIN_TERM";

}  // namespace balancer

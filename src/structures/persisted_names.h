#pragma once

#include <string_view>

// Names used by files, peers and operators' commands of earlier versions.
namespace balancer {

// The program's original name. The names of hot restart files contain it, and it is the default
// name of a group member, so that different versions find each other's files and members.
inline constexpr std::string_view kPersistedProgramName = "silverpin";

// Environment variables for the operators' commands that announce an address: the address, and the
// term of its lease. The operators maintain these commands, so the names must not change between
// versions of this program.
inline constexpr std::string_view kAddressVariable = "SILVERPIN_ADDRESS";
inline constexpr std::string_view kTermVariable = "SILVERPIN_TERM";

}  // namespace balancer

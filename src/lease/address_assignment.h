#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Which instance should hold which service address, from one instance's view of the group. Views
// may differ for a while; that costs a superfluous move or a short delay, and never leads to two
// holders, which the leases prevent.
namespace balancer::lease {

// A service address, and who should hold it.
struct AddressPreference {
  std::string address;
  // Instance names, the most preferred first; all others are equal, behind these.
  std::vector<std::string> preferred_instances;
};

// An instance that can serve now.
struct EligibleInstance {
  std::string name;
  // It has been eligible for long enough that a held address may be moved to it.
  bool settled = false;
  bool operator==(const EligibleInstance&) const = default;
};

// By address: instances in the order in which they should hold it.
using Assignment = std::map<std::string, std::vector<std::string>>;

inline constexpr std::size_t kMaxRanked = 8;

// Ranks up to `max_ranked` of the eligible instances for each address. `holders`: by address, the
// present holder's name.
//
// A holder keeps its address, unless a settled instance is preferred to it, or it holds at least
// two more addresses than a settled instance that is equally preferred: then the address whose
// rendezvous hash gains most moves. Addresses without a holder are assigned one after the other, in
// the order of their names: to the most preferred instance, of these to the one that holds fewest,
// and of those by rendezvous hashing (Thaler and Ravishankar 1998), so that the addresses of a
// failed instance are spread evenly, and all instances compute the same.
Assignment assign_addresses(const std::vector<AddressPreference>& addresses,
                            const std::vector<EligibleInstance>& instances,
                            const std::map<std::string, std::string>& holders,
                            std::size_t max_ranked = kMaxRanked);

}  // namespace balancer::lease

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Computes which instance should hold each service address, from one instance's view of the group.
// Views may differ temporarily; this can cause an unnecessary move or a short delay, but never two
// holders, because the leases prevent that.
namespace balancer::lease {

// A service address and the instances that are preferred as its holder.
struct AddressPreference {
  std::string address;
  // Instance names, most preferred first. All other instances rank equally after these.
  std::vector<std::string> preferred_instances;
};

// An instance that is currently able to serve.
struct EligibleInstance {
  std::string name;
  // Whether it has been eligible long enough for an address of another holder to be moved to it.
  bool settled = false;
  bool operator==(const EligibleInstance&) const = default;
};

// Instance names by address, in order of preference; the first is the assigned holder.
using Assignment = std::map<std::string, std::vector<std::string>>;

inline constexpr std::size_t kMaxRanked = 8;

// Ranks up to `max_ranked` of the eligible instances for each address. `holders`: the name of the
// present holder, by address.
//
// A holder keeps its address unless a settled instance is preferred to it, or unless it holds at
// least two more addresses than an equally preferred settled instance. In the latter case the move
// that evens out the number of addresses most is made first; rendezvous hashes break ties.
// Addresses without a holder are assigned in the order of their names: to the most preferred
// instance, among these to the one with the fewest addresses, and among those by rendezvous hashing
// (Thaler and Ravishankar 1998). The addresses of a failed instance are thereby spread evenly, and
// all instances compute the same assignment.
Assignment assign_addresses(const std::vector<AddressPreference>& addresses,
                            const std::vector<EligibleInstance>& instances,
                            const std::map<std::string, std::string>& holders,
                            std::size_t max_ranked = kMaxRanked);

}  // namespace balancer::lease

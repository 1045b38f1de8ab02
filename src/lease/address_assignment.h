#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Which instance is to hold which service address, from what one instance knows of the others.
// Views may differ for a while: that costs a move or a moment, never two holders, which the leases
// see to.
namespace balancer::lease {

struct Wanted {
  std::string address;
  std::vector<std::string> prefer;  // instances, the most wanted first; others are alike
};

struct EligibleInstance {
  std::string name;
  // For long enough that something may be moved to it; else it takes only what nobody holds.
  bool settled = false;
  bool operator==(const EligibleInstance&) const = default;
};

// For each address, who is to hold it and who is next, the best first, `most` of them. No instance
// that is not able is in it.
//
// Whoever holds an address keeps it, unless one that is preferred to it is settled, or it holds
// more than its even part and another that is settled holds less: then the address that fits it
// least goes. Addresses that nobody holds go one after the other, in the order of their names, to
// the most preferred, of these to whoever holds least, and of those by the address's own order
// (rendezvous hashing, Thaler and Ravishankar 1998), so that a dead one's part is dealt out evenly,
// and by all alike.
std::map<std::string, std::vector<std::string>> assign_addresses(
    const std::vector<Wanted>& addresses, const std::vector<EligibleInstance>& eligible,
    const std::map<std::string, std::string>& holders, std::size_t most = 8);

}  // namespace balancer::lease

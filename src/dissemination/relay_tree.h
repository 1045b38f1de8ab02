#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// A member and where it is. Names of sites are unique over all regions.
struct MemberPlace {
  MemberId id;
  std::string region, site;
  // False: it still belongs, and holds watermarks back, but relays nothing.
  bool reachable = true;
};

// Who forwards a stripe's batches, and who asks for them in its place.
struct Relays {
  MemberId relay, standby;  // empty where there is no such member
  bool includes(const MemberId& id) const { return id == relay || id == standby; }
};

// The levels source, region, site, member, from the membership that exists. There isn't one tree
// but one for each stripe, and batches take the stripes in turn: a site's only relay would send
// everything to each of its neighbours, many times its own share of bytes, while over all stripes
// each member of a site forwards about as much as the next (as in SplitStream; Castro et al. 2003).
//
// Relays are chosen by rendezvous hashing with a bound on the stripes of one member, so that all
// who see the same members choose alike, and one that goes or comes changes few stripes. Immutable;
// shared by whoever sees the same membership. Memory: the members given, and stripes times sites
// and regions.
class RelayTree {
 public:
  RelayTree(std::vector<MemberPlace> members, std::uint32_t stripes);

  std::uint32_t stripes() const { return stripes_; }
  const MemberPlace* find(const MemberId& id) const;
  // In order of their names; empty for one that isn't known.
  std::vector<std::string> regions() const;
  std::vector<std::string> sites() const;
  const std::vector<std::string>& sites(const std::string& region) const;
  const std::vector<MemberId>& members(const std::string& site) const;
  const Relays& region_relays(const std::string& region, std::uint32_t stripe) const;
  const Relays& site_relays(const std::string& site, std::uint32_t stripe) const;

 private:
  struct Group {
    std::vector<std::string> children;  // sites of a region, members of a site
    std::vector<Relays> relays;         // by stripe
  };
  static std::vector<Relays> choose(std::string_view level, const std::string& name,
                                    const std::vector<MemberId>& candidates, std::uint32_t stripes);
  static const Relays& relays(const std::map<std::string, Group>& groups, const std::string& name,
                              std::uint32_t stripe);

  std::uint32_t stripes_;
  std::map<MemberId, MemberPlace> members_;
  std::map<std::string, Group> regions_, sites_;
};

}  // namespace balancer::dissemination

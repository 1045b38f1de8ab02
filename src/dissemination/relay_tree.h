#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// A member with its region and site. Names of sites are unique across all regions.
struct MemberPlace {
  MemberId id;
  std::string region, site;
  // An unreachable member remains a member and holds back watermarks, but isn't chosen as a relay.
  bool reachable = true;
};

// The member that forwards a stripe's batches, and its substitute: a batch that the relay doesn't
// acknowledge is sent to the standby, and repair requests go to both.
struct Relays {
  MemberId relay, standby;  // empty if there is no such member
  bool includes(const MemberId& id) const { return id == relay || id == standby; }
};

// The relay trees with the levels source, region, site and member, computed from the membership.
// There is one tree for each stripe, and successive batches use successive stripes. With a single
// tree, a site's only relay would send every batch to each of its neighbours, many times its own
// share of bytes; over all stripes, each member of a site forwards about as much as any other (as
// in SplitStream; Castro et al. 2003).
//
// Relays are chosen by rendezvous hashing with a bound on the stripes of one member, so that all
// members with the same view of the membership choose the same relays, and a member that joins or
// leaves changes few stripes. Immutable; shared by all users of the same membership. Memory is
// proportional to the members, and to stripes times sites and regions.
class RelayTree {
 public:
  RelayTree(std::vector<MemberPlace> members, std::uint32_t stripes);

  std::uint32_t stripes() const { return stripes_; }
  const MemberPlace* find(const MemberId& id) const;
  // The following lists are ordered by name, and empty for an unknown region or site.
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

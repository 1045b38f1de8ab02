#include "dissemination/relay_tree.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "structures/stable_hash.h"

namespace balancer::dissemination {
namespace {

const std::vector<std::string> kNoNames;
const Relays kNoRelays;
constexpr std::size_t kNoCandidate = std::numeric_limits<std::size_t>::max();
// Number of following stripes that a relay doesn't carry after one of its own. Of the values 0 to
// 6, 3 gives the best delivery times; the larger the value, the more stripes get another relay when
// a member leaves.
constexpr std::uint32_t kMaxSpacing = 3;

}  // namespace

RelayTree::RelayTree(std::vector<MemberPlace> members, std::uint32_t stripes)
    : stripes_(std::max<std::uint32_t>(stripes, 1)) {
  for (auto& member : members) members_.insert_or_assign(member.id, std::move(member));
  std::map<std::string, std::set<std::string>> sites_of;
  std::map<std::string, std::vector<MemberId>> site_candidates, region_candidates;
  for (const auto& [id, member] : members_) {
    sites_[member.site].children.push_back(id);
    sites_of[member.region].insert(member.site);
    if (!member.reachable) continue;
    site_candidates[member.site].push_back(id);
    region_candidates[member.region].push_back(id);
  }
  for (const auto& [region, sites] : sites_of)
    regions_[region] = {{sites.begin(), sites.end()},
                        choose("region", region, region_candidates[region], stripes_)};
  for (auto& [site, group] : sites_)
    group.relays = choose("site", site, site_candidates[site], stripes_);
}

std::vector<Relays> RelayTree::choose(std::string_view level, const std::string& name,
                                      const std::vector<MemberId>& candidates,
                                      std::uint32_t stripes) {
  std::vector<Relays> chosen(stripes);
  if (candidates.empty()) return chosen;
  const std::size_t max_stripes = (stripes + candidates.size() - 1) / candidates.size();
  const std::uint64_t group_hash = mix(stable_hash(level), stable_hash(name));
  std::vector<std::uint64_t> hashes;
  hashes.reserve(candidates.size());
  for (const auto& id : candidates) hashes.push_back(mix(stable_hash(id), group_hash));
  std::vector<std::size_t> stripes_carried(candidates.size(), 0);
  std::vector<std::uint32_t> last_stripe(candidates.size(), 0);
  const auto spacing = std::min(kMaxSpacing, static_cast<std::uint32_t>(candidates.size() - 1) / 2);
  for (std::uint32_t stripe = 0; stripe < stripes; ++stripe) {
    const auto best = [&](auto&& is_eligible) {
      std::size_t chosen_index = kNoCandidate;
      std::uint64_t best_score = 0;
      for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t score = mix(hashes[i], stripe);
        if (!is_eligible(i) || (chosen_index != kNoCandidate && score <= best_score)) continue;
        chosen_index = i;
        best_score = score;
      }
      return chosen_index;
    };
    const auto has_room = [&](std::size_t i) { return stripes_carried[i] < max_stripes; };
    // Successive batches use successive stripes, so that neighbouring stripes need different
    // relays: no member should forward two batches in quick succession.
    const auto is_spaced = [&](std::size_t i) {
      return stripes_carried[i] == 0 || stripe - last_stripe[i] > spacing;
    };
    std::size_t relay = best([&](std::size_t i) { return has_room(i) && is_spaced(i); });
    if (relay == kNoCandidate) relay = best(has_room);
    const std::size_t standby = best([&](std::size_t i) { return i != relay; });
    ++stripes_carried[relay];
    last_stripe[relay] = stripe;
    chosen[stripe].relay = candidates[relay];
    if (standby != kNoCandidate) chosen[stripe].standby = candidates[standby];
  }
  return chosen;
}

const MemberPlace* RelayTree::find(const MemberId& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<std::string> RelayTree::regions() const {
  std::vector<std::string> names;
  for (const auto& [name, group] : regions_) names.push_back(name);
  return names;
}

std::vector<std::string> RelayTree::sites() const {
  std::vector<std::string> names;
  for (const auto& [name, group] : sites_) names.push_back(name);
  return names;
}

const std::vector<std::string>& RelayTree::sites(const std::string& region) const {
  const auto it = regions_.find(region);
  return it == regions_.end() ? kNoNames : it->second.children;
}

const std::vector<MemberId>& RelayTree::members(const std::string& site) const {
  const auto it = sites_.find(site);
  return it == sites_.end() ? kNoNames : it->second.children;
}

const Relays& RelayTree::region_relays(const std::string& region, std::uint32_t stripe) const {
  return relays(regions_, region, stripe);
}
const Relays& RelayTree::site_relays(const std::string& site, std::uint32_t stripe) const {
  return relays(sites_, site, stripe);
}

const Relays& RelayTree::relays(const std::map<std::string, Group>& groups, const std::string& name,
                                std::uint32_t stripe) {
  const auto it = groups.find(name);
  return it == groups.end() ? kNoRelays : it->second.relays[stripe % it->second.relays.size()];
}

}  // namespace balancer::dissemination

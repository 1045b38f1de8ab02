#include "lease/address_assignment.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <tuple>

#include "policy/hash_ring.h"

namespace balancer::lease {
namespace {

constexpr std::size_t kNobody = SIZE_MAX;

// Lower is better.
std::size_t preference(const Wanted& w, const std::string& name) {
  return static_cast<std::size_t>(std::find(w.prefer.begin(), w.prefer.end(), name) -
                                  w.prefer.begin());
}

// One address among the instances, which are known by their places in the list.
struct Place {
  const Wanted* wanted;
  std::uint64_t hash;
  std::size_t home = kNobody;
  std::vector<std::size_t> preferences{};  // by instance; empty: nobody is preferred

  std::size_t preference_of(std::size_t i) const {
    return preferences.empty() ? 0 : preferences[i];
  }
};

}  // namespace

std::map<std::string, std::vector<std::string>> assign_addresses(
    const std::vector<Wanted>& addresses, const std::vector<EligibleInstance>& eligible,
    const std::map<std::string, std::string>& holders, std::size_t most) {
  const std::size_t n = eligible.size();
  std::vector<std::uint64_t> hashes;
  std::map<std::string_view, std::size_t> by_name;
  for (std::size_t i = 0; i < n; ++i) {
    hashes.push_back(stable_hash(eligible[i].name));
    by_name.emplace(eligible[i].name, i);
  }
  std::vector<std::size_t> count(n, 0);
  std::vector<Place> places;
  for (const Wanted& w : addresses) {
    Place p{&w, stable_hash(w.address)};
    if (!w.prefer.empty())
      for (const EligibleInstance& a : eligible) p.preferences.push_back(preference(w, a.name));
    places.push_back(std::move(p));
  }
  std::sort(places.begin(), places.end(),
            [](const Place& a, const Place& b) { return a.wanted->address < b.wanted->address; });
  for (Place& p : places) {
    const auto it = holders.find(p.wanted->address);
    const auto at = it == holders.end() ? by_name.end() : by_name.find(it->second);
    if (at == by_name.end()) continue;
    p.home = at->second;
    ++count[p.home];
  }
  // Better ones are smaller.
  const auto rank = [&](const Place& p, std::size_t i) {
    return std::tuple(p.preference_of(i), count[i], ~mix(p.hash, hashes[i]),
                      std::string_view(eligible[i].name));
  };
  const auto best = [&](const Place& p, auto&& allowed) {
    std::size_t choice = kNobody;
    for (std::size_t i = 0; i < n; ++i)
      if (allowed(i) && (choice == kNobody || rank(p, i) < rank(p, choice))) choice = i;
    return choice;
  };
  // What nobody holds.
  for (Place& p : places) {
    if (p.home != kNobody) continue;
    p.home = best(p, [](std::size_t) { return true; });
    if (p.home != kNobody) ++count[p.home];
  }
  // Where one is preferred.
  for (Place& p : places) {
    if (p.home == kNobody || p.preferences.empty()) continue;
    const auto choice = best(p, [&eligible](std::size_t i) { return eligible[i].settled; });
    if (choice == kNobody || p.preference_of(choice) >= p.preference_of(p.home)) continue;
    --count[p.home];
    ++count[choice];
    p.home = choice;
  }
  // Even parts, one address at a time until no move helps; among those that are preferred alike.
  for (std::size_t moves = 0; moves < places.size(); ++moves) {
    Place* which = nullptr;
    std::size_t to = kNobody;
    std::tuple<std::size_t, std::uint64_t> best_gain{1, 0};
    for (Place& p : places) {
      if (p.home == kNobody || count[p.home] < 2) continue;
      for (std::size_t i = 0; i < n; ++i) {
        if (!eligible[i].settled || count[p.home] < count[i] + 2 ||
            p.preference_of(i) != p.preference_of(p.home))
          continue;
        const std::tuple gain(count[p.home] - count[i],
                              mix(p.hash, hashes[i]) ^ mix(p.hash, hashes[p.home]));
        if (which && gain <= best_gain) continue;
        which = &p;
        to = i;
        best_gain = gain;
      }
    }
    if (!which) break;
    --count[which->home];
    ++count[to];
    which->home = to;
  }
  std::map<std::string, std::vector<std::string>> order;
  std::vector<std::size_t> all(n);
  for (const Place& p : places) {
    for (std::size_t i = 0; i < n; ++i) all[i] = i;
    const auto some = all.begin() + static_cast<std::ptrdiff_t>(std::min(most, n));
    std::partial_sort(all.begin(), some, all.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(a != p.home, rank(p, a)) < std::pair(b != p.home, rank(p, b));
    });
    auto& names = order[p.wanted->address];
    for (auto it = all.begin(); it != some; ++it) names.push_back(eligible[*it].name);
  }
  return order;
}

}  // namespace balancer::lease

#include "address/deal.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "policy/hash_ring.h"

namespace silverpin::address {
namespace {

std::uint64_t fit(const std::string& address, const std::string& name) {
  return mix(stable_hash(address), stable_hash(name));
}

// Lower is better.
std::size_t preference(const Wanted& w, const std::string& name) {
  return static_cast<std::size_t>(std::find(w.prefer.begin(), w.prefer.end(), name) -
                                  w.prefer.begin());
}

}  // namespace

std::map<std::string, std::vector<std::string>> deal(
    const std::vector<Wanted>& addresses, const std::vector<Able>& able,
    const std::map<std::string, std::string>& holders) {
  std::map<std::string, std::vector<std::string>> order;
  std::map<std::string, std::size_t> count;
  std::map<std::string, bool> settled;
  for (const Able& a : able) {
    count[a.name] = 0;
    settled[a.name] = a.settled;
  }
  std::vector<const Wanted*> sorted;
  for (const Wanted& w : addresses) sorted.push_back(&w);
  std::sort(sorted.begin(), sorted.end(),
            [](const Wanted* a, const Wanted* b) { return a->address < b->address; });
  std::map<std::string, std::string> home;
  for (const Wanted* w : sorted) {
    const auto it = holders.find(w->address);
    if (it == holders.end() || count.count(it->second) == 0) continue;
    home[w->address] = it->second;
    ++count[it->second];
  }
  const auto best = [&](const Wanted& w, auto&& allowed) {
    const std::string* choice = nullptr;
    const auto rank = [&](const std::string& n) {
      return std::tuple(preference(w, n), count[n], ~fit(w.address, n), n);
    };
    for (const Able& a : able)
      if (allowed(a) && (!choice || rank(a.name) < rank(*choice))) choice = &a.name;
    return choice;
  };
  // What nobody holds.
  for (const Wanted* w : sorted) {
    if (home.count(w->address) > 0) continue;
    const auto* choice = best(*w, [](const Able&) { return true; });
    if (!choice) continue;
    home[w->address] = *choice;
    ++count[*choice];
  }
  // Where one is preferred.
  for (const Wanted* w : sorted) {
    const auto it = home.find(w->address);
    if (it == home.end()) continue;
    const auto* choice = best(*w, [](const Able& a) { return a.settled; });
    if (!choice || preference(*w, *choice) >= preference(*w, it->second)) continue;
    --count[it->second];
    ++count[*choice];
    it->second = *choice;
  }
  // Even parts, one address at a time until no move helps; among those that are preferred alike.
  for (std::size_t moves = 0; moves < addresses.size(); ++moves) {
    const Wanted* which = nullptr;
    std::string to;
    std::tuple<std::size_t, std::uint64_t> best_gain{1, 0};
    for (const Wanted* w : sorted) {
      const auto it = home.find(w->address);
      if (it == home.end()) continue;
      for (const Able& a : able) {
        if (!a.settled || preference(*w, a.name) != preference(*w, it->second) ||
            count[it->second] < count[a.name] + 2)
          continue;
        const std::tuple gain(count[it->second] - count[a.name],
                              fit(w->address, a.name) ^ fit(w->address, it->second));
        if (!which || gain > best_gain) {
          which = w;
          to = a.name;
          best_gain = gain;
        }
      }
    }
    if (!which) break;
    --count[home[which->address]];
    ++count[to];
    home[which->address] = to;
  }
  for (const Wanted* w : sorted) {
    std::vector<std::string> names;
    for (const Able& a : able) names.push_back(a.name);
    const auto it = home.find(w->address);
    std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
      const auto rank = [&](const std::string& n) {
        return std::tuple(it == home.end() || n != it->second, preference(*w, n), count[n],
                          ~fit(w->address, n), n);
      };
      return rank(a) < rank(b);
    });
    order[w->address] = std::move(names);
  }
  return order;
}

}  // namespace silverpin::address

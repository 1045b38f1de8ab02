#include "testbed/audit/herd_check.h"

#include <algorithm>

namespace balancer::testbed {
namespace {

// More than the longest run of 7200 s; later events are not counted.
constexpr std::size_t kMaxTenths = 75'000;

std::size_t tenth_index(Time at) {
  return static_cast<std::size_t>(std::max(0.0, 10 * seconds(at)));
}

}  // namespace

const char* Stampede::name_of(Kind kind) {
  constexpr std::array<const char*, kKinds> kNames{"connections", "probes", "list calls",
                                                   "cold attempts", "fetches"};
  return kNames[static_cast<std::size_t>(kind)];
}

void Stampede::count(Kind kind, Time at) {
  auto& all = tenths_[static_cast<std::size_t>(kind)];
  const std::size_t n = tenth_index(at);
  if (n >= kMaxTenths) return;
  if (all.size() <= n) all.resize(n + 1);
  ++all[n];
}

Stampede::Figures Stampede::figures(Kind kind, Time from, Time at, Time end) const {
  const auto& all = tenths_[static_cast<std::size_t>(kind)];
  Figures f;
  const std::size_t first = tenth_index(from), middle = std::max(first, tenth_index(at));
  for (std::size_t n = first; n < std::min(all.size(), std::max(middle, tenth_index(end))); ++n) {
    if (n < middle) {
      f.mean_before += all[n];
      f.max_before = std::max<double>(f.max_before, all[n]);
      continue;
    }
    f.all += all[n];
    if (all[n] > f.most) {
      f.most = all[n];
      f.max_at = static_cast<double>(n) / 10;
    }
  }
  if (middle > first) f.mean_before /= static_cast<double>(middle - first);
  return f;
}

}  // namespace balancer::testbed

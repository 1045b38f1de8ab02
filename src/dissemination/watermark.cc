#include "dissemination/watermark.h"

#include <algorithm>
#include <set>
#include <utility>

namespace balancer::dissemination {
namespace {

// Sorts the laggards by how far they are behind, furthest first, and keeps at most kMaxLaggards.
void keep_worst(std::vector<Laggard>& laggards) {
  std::sort(laggards.begin(), laggards.end(), [](const Laggard& a, const Laggard& b) {
    return std::tie(a.sequence, a.id) < std::tie(b.sequence, b.id);
  });
  if (laggards.size() > Watermark::kMaxLaggards) laggards.resize(Watermark::kMaxLaggards);
}

}  // namespace

void Watermark::on_report(Report report) {
  const auto it = reports_.find(report.from);
  // A delayed report of an earlier term must not replace a newer report.
  if (it != reports_.end() && report.term < it->second.term) return;
  std::string from = report.from;
  reports_.insert_or_assign(std::move(from), std::move(report));
}

Report Watermark::merge(const std::string& id, Term term,
                        const std::vector<std::string>& expected) const {
  Report merged{id, term, {}, {}};
  bool is_first = true;
  for (const auto& child : expected) {
    const auto it = reports_.find(child);
    const bool counts = it != reports_.end() && it->second.term == term;
    const Report report = counts ? it->second : Report{child, term, {}, {}};
    for (const Channel channel : kChannels) {
      const std::size_t c = index(channel);
      const Sequence in_force = report.in_force[c];
      merged.in_force[c] = is_first ? in_force : std::min(merged.in_force[c], in_force);
      auto& laggards = merged.laggards[c];
      if (report.laggards[c].empty()) laggards.push_back({child, in_force});
      laggards.insert(laggards.end(), report.laggards[c].begin(), report.laggards[c].end());
    }
    is_first = false;
  }
  for (auto& laggards : merged.laggards) keep_worst(laggards);
  return merged;
}

void Watermark::keep_only(const std::vector<std::string>& expected) {
  const std::set<std::string> names(expected.begin(), expected.end());
  std::erase_if(reports_, [&](const auto& report) { return names.count(report.first) == 0; });
}

}  // namespace balancer::dissemination

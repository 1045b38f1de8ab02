#include "dissemination/watermark.h"

#include <algorithm>
#include <utility>

namespace silverpin::dissemination {
namespace {

// Those furthest behind first, no more than a report holds.
void keep_worst(std::vector<Laggard>& laggards) {
  std::sort(laggards.begin(), laggards.end(), [](const Laggard& a, const Laggard& b) {
    return std::tie(a.sequence, a.id) < std::tie(b.sequence, b.id);
  });
  if (laggards.size() > Watermark::kMaxLaggards) laggards.resize(Watermark::kMaxLaggards);
}

}  // namespace

void Watermark::on_report(Report report) {
  const auto it = reports_.find(report.from);
  // Late reports: of an earlier term, or overtaken by a newer one.
  if (it != reports_.end() && report.term < it->second.term) return;
  std::string from = report.from;
  reports_.insert_or_assign(std::move(from), std::move(report));
}

Report Watermark::merge(const std::string& id, Term term,
                        const std::vector<std::string>& expected) {
  std::map<std::string, Report> kept;
  Report merged{id, term, {}, {}};
  bool is_first = true;
  for (const auto& child : expected) {
    Report report{child, term, {}, {}};
    if (const auto it = reports_.find(child); it != reports_.end()) {
      if (it->second.term == term) report = it->second;
      kept.insert(reports_.extract(it));
    }
    for (const Channel channel : kChannels) {
      const std::size_t c = index(channel);
      merged.in_force[c] =
          is_first ? report.in_force[c] : std::min(merged.in_force[c], report.in_force[c]);
      auto& laggards = merged.laggards[c];
      if (report.laggards[c].empty()) laggards.push_back({child, report.in_force[c]});
      laggards.insert(laggards.end(), report.laggards[c].begin(), report.laggards[c].end());
    }
    is_first = false;
  }
  for (auto& laggards : merged.laggards) keep_worst(laggards);
  reports_ = std::move(kept);
  return merged;
}

}  // namespace silverpin::dissemination

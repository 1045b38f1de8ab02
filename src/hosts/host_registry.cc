#include "hosts/host_registry.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 16;

}  // namespace

double bounded_weight(double weight) {
  return std::isfinite(weight) ? std::clamp(weight, kMinWeight, kMaxWeight) : kMinWeight;
}

std::vector<HostRegistry::HostChange> HostRegistry::on_list(ListKind kind,
                                                            const std::vector<HostEntry>& entries) {
  std::vector<HostChange> news;
  if (kind == ListKind::kRejected) return news;
  ++lists_;
  for (const HostEntry& e : entries) {
    const auto [index, is_new] = hosts_.insert(e.id);
    Host& host = hosts_[index];
    host.id = e.id;
    host.listed = lists_;
    const bool was_placed = host.placed();
    host.origin = e.origin;
    host.zone = e.zone;
    host.cell = e.cell;
    host.state = e.state;
    take_start(index, e.start, news);
    const auto word = is_new ? overrides_.find(e.id) : overrides_.end();
    if (word != overrides_.end()) heed(index, word->second, news);
    if (host.placed() && !was_placed) {
      if (weights_) host.weight = bounded_weight(e.weight);
      news.push_back({HostChange::Kind::kJoined, index});
    } else if (was_placed && !host.placed()) {
      news.push_back({HostChange::Kind::kLeft, index});
    }
  }
  placed_weight_ = 0;
  for (Index i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    if (kind == ListKind::kWhole && host.listed != lists_ && host.state != HostState::kGone) {
      if (!host.origin) news.push_back({HostChange::Kind::kLeft, i});
      host.state = HostState::kGone;
    }
    if (host.placed()) placed_weight_ += host.weight;
    if (forget_if_gone(i)) news.push_back({HostChange::Kind::kForgotten, i});
  }
  return news;
}

void HostRegistry::take_start(Index i, const std::optional<HostStart>& start,
                              std::vector<HostChange>& news) {
  Host& host = hosts_[i];
  const bool same = start ? host.born() == start->born : !host.start;
  if (!same) {
    host.start = start;
    if (start) news.push_back({HostChange::Kind::kStarted, i, start->at});
  } else if (start && start->at < host.start->at) {
    host.start = start;
    // One that was called back has started since, whatever its list still says.
    if (!overrides_.contains(host.id)) news.push_back({HostChange::Kind::kOlder, i, start->at});
  }
}

// Facts beside the lists': a host is used only where both allow it, and leaving a list or coming
// back on one changes nothing.
std::vector<HostRegistry::HostChange> HostRegistry::restore(std::string_view id,
                                                            OperatorOverride word) {
  std::vector<HostChange> news;
  if (overrides_.size() >= kMaxOverrides && !overrides_.contains(id)) return news;
  overrides_.insert_or_assign(std::string(id), word);
  if (const auto listed = hosts_.find(id)) heed(*listed, word, news);
  return news;
}

bool HostRegistry::may_speak_of(Time now, std::string_view id) {
  std::erase_if(overrides_,
                [&](const auto& w) { return !w.second.out && now - w.second.at > remembered_; });
  if (overrides_.contains(id)) return true;
  const auto listed = hosts_.find(id);
  return listed && !hosts_[*listed].origin && overrides_.size() < kMaxOverrides;
}

bool HostRegistry::differs(std::string_view id, bool out) const {
  const auto word = overrides_.find(id);
  return out != (word != overrides_.end() && word->second.out);
}

// One that comes back was restarted meanwhile, also where no list has told so: it is cold, and what
// was learnt of the old process must not keep it unused.
void HostRegistry::heed(Index i, const OperatorOverride& word, std::vector<HostChange>& news) {
  Host& host = hosts_[i];
  host.out = word.out;
  if (word.out) {
    news.push_back({HostChange::Kind::kTakenOut, i});
  } else {
    const Time listed = host.start ? host.start->at : word.at;
    news.push_back({HostChange::Kind::kCalledBack, i, std::max(word.at, listed)});
  }
}

bool HostRegistry::release(Index i) {
  --hosts_[i].held;
  return forget_if_gone(i);
}

// In a fleet whose hosts are always new the table would grow for as long as the balancer runs. A
// host that comes back under its id is told from its start like any other.
bool HostRegistry::forget_if_gone(Index i) {
  const Host& host = hosts_[i];
  if (host.state != HostState::kGone || host.held > 0 || host.id.empty()) return false;
  hosts_.erase(std::string(host.id));
  return true;
}

std::optional<HostRegistry::Index> HostRegistry::origin() const {
  for (Index i = 0; i < hosts_.size(); ++i)
    if (hosts_[i].origin && hosts_[i].state == HostState::kServing) return i;
  return std::nullopt;
}

}  // namespace balancer

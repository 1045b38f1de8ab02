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
  std::vector<HostChange> changes;
  if (kind == ListKind::kRejected) return changes;
  ++list_count_;
  for (const HostEntry& entry : entries) apply_entry(entry, changes);
  remove_gone_hosts(kind, changes);
  return changes;
}

void HostRegistry::apply_entry(const HostEntry& entry, std::vector<HostChange>& changes) {
  const auto [index, is_new] = hosts_.insert(entry.id);
  Host& host = hosts_[index];
  host.id = entry.id;
  host.last_seen_list_number = list_count_;
  const bool was_placeable = host.is_placed();
  host.is_origin = entry.is_origin;
  host.zone = entry.zone;
  host.cell = entry.cell;
  host.state = entry.state;
  apply_start(index, entry.start, changes);
  const auto known_override = is_new ? overrides_.find(entry.id) : overrides_.end();
  if (known_override != overrides_.end()) apply_override(index, known_override->second, changes);
  // The weight is fixed while keys may be placed on the host.
  if (host.is_placed() && !was_placeable) {
    if (use_weights_) host.weight = bounded_weight(entry.weight);
    changes.push_back({HostChange::Kind::kJoined, index});
  } else if (was_placeable && !host.is_placed()) {
    changes.push_back({HostChange::Kind::kLeft, index});
  }
}

void HostRegistry::remove_gone_hosts(ListKind kind, std::vector<HostChange>& changes) {
  total_weight_ = 0;
  for (Index i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    const bool is_unlisted =
        kind == ListKind::kComplete && host.last_seen_list_number != list_count_;
    if (is_unlisted && host.state != HostState::kGone) {
      if (!host.is_origin) changes.push_back({HostChange::Kind::kLeft, i});
      host.state = HostState::kGone;
    }
    if (host.is_placed()) total_weight_ += host.weight;
    if (remove_if_unreferenced(i)) changes.push_back({HostChange::Kind::kRemoved, i});
  }
}

void HostRegistry::apply_start(Index i, const std::optional<HostStart>& start,
                               std::vector<HostChange>& changes) {
  Host& host = hosts_[i];
  const bool is_same = start ? host.born() == start->started_at : !host.start;
  if (!is_same) {
    host.start = start;
    if (start) changes.push_back({HostChange::Kind::kStarted, i, start->at});
  } else if (start && start->at < host.start->at) {
    host.start = start;
    // A host with an override counts as restarted when it returns to service, so an earlier start
    // in the list is not reported.
    if (!overrides_.contains(host.id))
      changes.push_back({HostChange::Kind::kStartedEarlier, i, start->at});
  }
}

// Overrides are independent of the host lists: a host is used only if both allow it, and an
// override remains in force when its host leaves a list or returns to one.
std::vector<HostRegistry::HostChange> HostRegistry::restore(std::string_view id,
                                                            OperatorOverride operator_override) {
  std::vector<HostChange> changes;
  if (overrides_.size() >= kMaxOverrides && !overrides_.contains(id)) return changes;
  overrides_.insert_or_assign(std::string(id), operator_override);
  if (const auto listed = hosts_.find(id)) apply_override(*listed, operator_override, changes);
  return changes;
}

bool HostRegistry::prepare_override(Time now, std::string_view id) {
  std::erase_if(overrides_, [&](const auto& entry) {
    const OperatorOverride& known = entry.second;
    return !known.out_of_service && now - known.since > override_retention_;
  });
  if (overrides_.contains(id)) return true;
  const auto listed = hosts_.find(id);
  return listed && !hosts_[*listed].is_origin && overrides_.size() < kMaxOverrides;
}

bool HostRegistry::differs_from_override(std::string_view id, bool out_of_service) const {
  const auto known = overrides_.find(id);
  return out_of_service != (known != overrides_.end() && known->second.out_of_service);
}

// A host that returns to service counts as restarted, even if no list has reported a new start. It
// goes through slow start, and failures recorded for the previous process must not exclude it.
void HostRegistry::apply_override(Index i, const OperatorOverride& operator_override,
                                  std::vector<HostChange>& changes) {
  Host& host = hosts_[i];
  host.out_of_service = operator_override.out_of_service;
  if (host.out_of_service) {
    changes.push_back({HostChange::Kind::kTakenOutOfService, i});
  } else {
    const Time listed_start = host.start ? host.start->at : operator_override.since;
    changes.push_back(
        {HostChange::Kind::kReturnedToService, i, std::max(operator_override.since, listed_start)});
  }
}

bool HostRegistry::release_reference(Index i) {
  --hosts_[i].references;
  return remove_if_unreferenced(i);
}

// Without this removal the table would grow without bound in a fleet whose hosts are replaced all
// the time. A host that returns under the same id is treated like a new one.
bool HostRegistry::remove_if_unreferenced(Index i) {
  const Host& host = hosts_[i];
  if (host.state != HostState::kGone || host.references > 0 || host.id.empty()) return false;
  hosts_.erase(std::string(host.id));
  return true;
}

std::optional<HostRegistry::Index> HostRegistry::origin() const {
  for (Index i = 0; i < hosts_.size(); ++i)
    if (hosts_[i].is_origin && hosts_[i].state == HostState::kServing) return i;
  return std::nullopt;
}

}  // namespace balancer

#include "hot_restart/hot_restart_state.h"

#include <algorithm>

namespace balancer::hot_restart {
namespace {

std::uint64_t subtract_or_zero(std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; }

}  // namespace

void HotRestartState::on_predecessor(ResourceShare held) {
  predecessor_ = held;
  presumed_until_.reset();
}

void HotRestartState::on_predecessor_presumed(Time until) {
  if (!predecessor_) presumed_until_ = until;
}

void HotRestartState::on_predecessor_ended() {
  predecessor_.reset();
  presumed_until_.reset();
}

bool HotRestartState::has_predecessor(Time now) const {
  return predecessor_ || (presumed_until_ && now < *presumed_until_);
}

bool HotRestartState::on_successor(Time now) {
  if (successor_ != Successor::kNone || has_predecessor(now)) return false;
  successor_ = Successor::kStarting;
  return true;
}

void HotRestartState::on_successor_serving() {
  if (successor_ == Successor::kStarting) successor_ = Successor::kServing;
}

void HotRestartState::on_successor_ending() {
  if (successor_ != Successor::kNone && !is_terminating_) successor_ = Successor::kEnding;
}

void HotRestartState::on_successor_lost() {
  successor_ = Successor::kNone;
  ceiling_.reset();
}

ResourceShare HotRestartState::share(Time now, ResourceShare used, ResourceShare needs) {
  const ResourceShare half{total_.descriptors / 2, total_.bytes / 2};
  if (successor_ == Successor::kNone) {
    if (predecessor_)
      return {subtract_or_zero(total_.descriptors, predecessor_->descriptors),
              subtract_or_zero(total_.bytes, predecessor_->bytes)};
    return has_predecessor(now) ? half : total_;
  }
  ResourceShare limit = half;
  if (passes_connections()) {
    limit.descriptors = std::min(half.descriptors, used.descriptors + needs.descriptors);
    limit.bytes = std::min(half.bytes, used.bytes + needs.bytes);
  }
  if (ceiling_) {
    limit.descriptors = std::min(limit.descriptors, ceiling_->descriptors);
    limit.bytes = std::min(limit.bytes, ceiling_->bytes);
  }
  // Resources in use cannot be released at once; the successor has the rest.
  ceiling_ = {std::max(limit.descriptors, used.descriptors), std::max(limit.bytes, used.bytes)};
  return *ceiling_;
}

}  // namespace balancer::hot_restart

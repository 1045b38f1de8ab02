#include "handover/turn.h"

#include <algorithm>

namespace silverpin::handover {
namespace {

std::uint64_t less(std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; }

}  // namespace

void Turn::on_predecessor(Share held) {
  predecessor_ = held;
  presumed_until_.reset();
}

void Turn::on_predecessor_presumed(Time until) {
  if (!predecessor_) presumed_until_ = until;
}

void Turn::on_predecessor_ended() {
  predecessor_.reset();
  presumed_until_.reset();
}

bool Turn::has_predecessor(Time now) const {
  return predecessor_ || (presumed_until_ && now < *presumed_until_);
}

bool Turn::on_successor(Time now) {
  if (successor_ != Successor::kNone || has_predecessor(now)) return false;
  successor_ = Successor::kStarting;
  return true;
}

void Turn::on_successor_serving() {
  if (successor_ == Successor::kStarting) successor_ = Successor::kServing;
}

void Turn::on_successor_lost() {
  successor_ = Successor::kNone;
  ceiling_.reset();
}

Share Turn::share(Time now, Share used, Share needs) {
  const Share half{total_.descriptors / 2, total_.bytes / 2};
  if (successor_ == Successor::kNone) {
    if (predecessor_)
      return {less(total_.descriptors, predecessor_->descriptors),
              less(total_.bytes, predecessor_->bytes)};
    return has_predecessor(now) ? half : total_;
  }
  Share most = half;
  if (passes_connections()) {
    most.descriptors = std::min(half.descriptors, used.descriptors + needs.descriptors);
    most.bytes = std::min(half.bytes, used.bytes + needs.bytes);
  }
  if (ceiling_) {
    most.descriptors = std::min(most.descriptors, ceiling_->descriptors);
    most.bytes = std::min(most.bytes, ceiling_->bytes);
  }
  // What is in use cannot be called back at once; the successor makes do with the rest.
  ceiling_ = {std::max(most.descriptors, used.descriptors), std::max(most.bytes, used.bytes)};
  return *ceiling_;
}

}  // namespace silverpin::handover

#include "recovery/stall_guard.h"

#include <algorithm>
#include <utility>

namespace balancer::recovery {

bool StallGuard::observe(Time now) {
  const Time before = std::exchange(observed_at_, std::max(observed_at_, now));
  const Duration gap = now - before;
  if (gap < bounds_.stall_threshold) return false;
  // If each stall started a full hold, a process that only runs for short moments between stalls
  // would hold forever, so a stall during a hold continues with the rest of that hold.
  const Duration hold_left =
      is_holding() ? std::max(Duration{0}, hold_until_ - before) : bounds_.max_hold;
  last_stall_ = gap;
  resumed_at_ = now;
  hold_until_ = now + hold_left;
  stage_ = Stage::kAwaitingRefresh;
  ++stalls_;
  return true;
}

bool StallGuard::on_discovery_answer(Time called_at) {
  // A call from before the stall may also have been answered before it.
  if (stage_ == Stage::kFresh || called_at < resumed_at_) return false;
  const bool was_holding = is_holding();
  stage_ = Stage::kFresh;
  return was_holding;
}

bool StallGuard::on_hold_expired(Time now) {
  if (!is_holding() || now < hold_until_) return false;
  stage_ = Stage::kStale;
  return true;
}

}  // namespace balancer::recovery

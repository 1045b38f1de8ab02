#include "recovery/stall_guard.h"

#include <algorithm>
#include <utility>

namespace balancer::recovery {

bool StallGuard::observe(Time now) {
  const Time before = std::exchange(observed_at_, std::max(observed_at_, now));
  const Duration gap = now - before;
  if (gap < bounds_.still) return false;
  // A process that gets to run for moments only would hold for ever, were each standstill worth a
  // whole hold: what was left of the last one is.
  const Duration left = is_holding() ? std::max(Duration{0}, until_ - before) : bounds_.hold;
  gap_ = gap;
  woken_ = now;
  until_ = now + left;
  stage_ = Stage::kAwaitingRefresh;
  ++standstills_;
  return true;
}

bool StallGuard::on_discovery_answer(Time asked) {
  // What had been asked for before the standstill may have been answered then, too.
  if (stage_ == Stage::kFresh || asked < woken_) return false;
  const bool held = is_holding();
  stage_ = Stage::kFresh;
  return held;
}

bool StallGuard::on_hold_over(Time now) {
  if (!is_holding() || now < until_) return false;
  stage_ = Stage::kStale;
  return true;
}

}  // namespace balancer::recovery

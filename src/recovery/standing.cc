#include "recovery/standing.h"

#include <algorithm>
#include <utility>

namespace silverpin::recovery {

bool Standing::look(Time now) {
  const Time before = std::exchange(looked_, std::max(looked_, now));
  const Duration gap = now - before;
  if (gap < bounds_.still) return false;
  // A process that gets to run for moments only would hold for ever, were each standstill worth a
  // whole hold: what was left of the last one is.
  const Duration left = holds() ? std::max(Duration{0}, until_ - before) : bounds_.hold;
  gap_ = gap;
  woken_ = now;
  until_ = now + left;
  stage_ = Stage::kHolding;
  ++standstills_;
  return true;
}

bool Standing::on_word(Time asked) {
  // What had been asked for before the standstill may have been answered then, too.
  if (stage_ == Stage::kSure || asked < woken_) return false;
  const bool held = holds();
  stage_ = Stage::kSure;
  return held;
}

bool Standing::on_hold_over(Time now) {
  if (!holds() || now < until_) return false;
  stage_ = Stage::kUnsure;
  return true;
}

}  // namespace silverpin::recovery

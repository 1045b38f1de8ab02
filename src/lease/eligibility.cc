#include "lease/eligibility.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

constexpr Duration kRelapseWindow = std::chrono::seconds(60);
constexpr std::size_t kMaxDoublings = 4;

// Reasons shown to operators, by condition.
constexpr std::array<std::string_view, Eligibility::kConditions> kUnmetReasons = {
    "no hosts are listed", "the listener is not open", "too few routers are connected", "draining"};

bool has_grace(Eligibility::Condition condition) {
  return condition == Eligibility::Condition::kHostsListed ||
         condition == Eligibility::Condition::kRoutersConnected;
}

}  // namespace

void Eligibility::on_condition(Time now, Condition condition, bool is_met) {
  ConditionState& state = conditions_[static_cast<std::size_t>(condition)];
  if (state.is_met != is_met) state = {is_met, now};
}

void Eligibility::on_lateness(Time now, Duration late) {
  while (!late_at_.empty() && now - late_at_.front() > settings_.late_window) late_at_.pop_front();
  if (late < settings_.lateness_threshold) return;
  late_at_.push_back(now);
  if (late_at_.size() > settings_.max_late_checks) late_at_.pop_front();
}

std::string_view Eligibility::unmet_condition(Time now) const {
  for (std::size_t i = 0; i < kConditions; ++i) {
    const ConditionState& state = conditions_[i];
    const bool in_grace = has_grace(static_cast<Condition>(i)) && is_eligible_ &&
                          now - state.since < settings_.grace_period;
    if (!state.is_met && !in_grace) return kUnmetReasons[i];
  }
  const auto late = std::count_if(late_at_.begin(), late_at_.end(),
                                  [&](Time t) { return now - t <= settings_.late_window; });
  if (static_cast<std::size_t>(late) >= settings_.max_late_checks) return "the event loop is late";
  return {};
}

// Returns how long all conditions must be met before the instance becomes eligible: zero until it
// has been eligible once, so that startup is not delayed.
Duration Eligibility::steady_time() const {
  if (!was_ever_eligible_ || relapses_.empty()) return Duration{0};
  return settings_.recovery_time * (1 << std::min(relapses_.size() - 1, kMaxDoublings));
}

bool Eligibility::eligible(Time now) {
  while (!relapses_.empty() && now - relapses_.front() > kRelapseWindow) relapses_.pop_front();
  if (const std::string_view unmet = unmet_condition(now); !unmet.empty()) {
    reason_ = unmet;
    eligible_at_ = Time::max();
    if (std::exchange(is_eligible_, false)) {
      relapses_.push_back(now);
      if (relapses_.size() > kMaxDoublings + 1) relapses_.pop_front();
    }
    return false;
  }
  if (is_eligible_) return true;
  if (eligible_at_ == Time::max()) eligible_at_ = now + steady_time();
  if (now < eligible_at_) {
    reason_ = "recovering: conditions not met for long enough";
    return false;
  }
  is_eligible_ = was_ever_eligible_ = true;
  reason_ = "ready";
  return true;
}

Time Eligibility::next_timer_at() const {
  Time first = Time::max();
  for (std::size_t i = 0; i < kConditions; ++i)
    if (!conditions_[i].is_met && is_eligible_ && has_grace(static_cast<Condition>(i)))
      first = std::min(first, conditions_[i].since + settings_.grace_period);
  if (!is_eligible_) first = std::min(first, eligible_at_);
  if (late_at_.size() >= settings_.max_late_checks)
    first = std::min(first, late_at_.front() + settings_.late_window + Duration{1});
  return first;
}

}  // namespace balancer::lease

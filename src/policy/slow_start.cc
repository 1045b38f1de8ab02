#include "policy/slow_start.h"

namespace balancer {

void SlowStart::on_start(Time started, double initial_budget) {
  started_ = started;
  initial_budget_ = initial_budget;
  budget_ = 0;
  budget_at_ = Time{0};
}

double SlowStart::weight(Time now, const SlowStartRule& rule) const {
  if (started_ == Time::min() || now >= started_ + rule.warm_up_time) return 1;
  const double age = std::max(0.0, seconds(now - started_) / seconds(rule.warm_up_time));
  return std::clamp(rule.start_capacity + (1 - rule.start_capacity) * age, 0.0, 1.0);
}

bool SlowStart::has_budget(Time now, const SlowStartRule& rule, double work, double normal_rate) {
  const double current_weight = weight(now, rule);
  if (current_weight >= 1) return true;
  if (budget_at_ == Time{0}) {
    budget_ = initial_budget_ * work;
  } else {
    const double rate = current_weight * normal_rate;
    budget_ = std::min(budget_ + rate * seconds(now - budget_at_), std::max(work, rate));
  }
  budget_at_ = now;
  return budget_ >= work;
}

}  // namespace balancer

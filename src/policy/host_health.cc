#include "policy/host_health.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(8);
// With one answer in ten failing by chance, so many in a row come once in a thousand.
constexpr int kErrorsInARow = 3;

// The share falls by half with each slow answer and rises again with each fast one and with time,
// since a host that is sent nothing would never show that it has recovered.
constexpr double kShareCut = 0.5;
constexpr double kShareStep = 0.1;
constexpr double kSharePerSecond = 0.005;
constexpr double kRare = 2;  // seconds between answers
constexpr double kMinShare = 0.1;

}  // namespace

void HostHealth::on_answer(Time now, bool slow) {
  // The rarer this balancer's answers from the host, the more each must count: among hundreds of
  // balancers, halving alone would take longer than the trouble lasts.
  const double weight = 1 + std::min(1.0, seconds(now - share_at_) / kRare);
  share_ = slow ? std::max(kMinShare, share(now) * std::pow(kShareCut, weight))
                : std::min(1.0, share(now) + kShareStep);
  share_at_ = now;
}

double HostHealth::share(Time now) const {
  return std::min(1.0, share_ + kSharePerSecond * seconds(now - share_at_));
}

void HostHealth::on_success() {
  failures_ = 0;
  errors_ = 0;
  ejected_until_ = Time{0};
}

void HostHealth::on_error(Time now, double jitter) {
  if (++errors_ >= kErrorsInARow) on_failure(now, jitter);
}

void HostHealth::on_failure(Time now, double jitter) {
  if (now < ejected_until_) return;  // an attempt sent before the ejection: nothing new
  failures_ = std::min(failures_ + 1, 8);
  const Duration base = std::min(kFirstEjection * (1 << (failures_ - 1)), kLongestEjection);
  ejected_until_ = now + from_seconds(seconds(base) * (0.5 + jitter));
}

void HostHealth::on_start(Time started, double jitter) {
  on_success();
  share_ = 1;  // what the old process was too slow for says nothing of the new one
  started_ = started;
  // Many balancers each with a whole request to spare would together swamp a cold host at once:
  // each begins with a random part of one.
  first_fill_ = jitter;
  budget_ = 0;
  budget_at_ = Time{0};
}

double HostHealth::warmth(Time now, const ColdRule& rule) const {
  if (started_ == Time::min() || now >= started_ + rule.warm_after) return 1;
  const double age = std::max(0.0, seconds(now - started_) / seconds(rule.warm_after));
  return std::clamp(rule.start_capacity + (1 - rule.start_capacity) * age, 0.0, 1.0);
}

bool HostHealth::may_take(Time now, const ColdRule& rule, double work, double normal_rate) {
  const double warm = warmth(now, rule);
  if (warm >= 1) return true;
  if (budget_at_ == Time{0}) {
    budget_ = first_fill_ * work;
  } else {
    const double rate = warm * normal_rate;
    budget_ = std::min(budget_ + rate * seconds(now - budget_at_), std::max(work, rate));
  }
  budget_at_ = now;
  return budget_ >= work;
}

}  // namespace balancer

#include "policy/outlier_detector.h"

#include <cmath>

namespace balancer {
namespace {

constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(8);
constexpr int kMaxCountedFailures = 8;
// If one answer in ten fails at random, a given run of three errors has probability 1 in 1000.
constexpr int kConsecutiveErrors = 3;

// The load factor halves with each slow answer. It rises with each fast answer, and with time,
// since a host that receives no requests could not show that it has recovered.
constexpr double kSlowAnswerFactor = 0.5;
constexpr double kFastAnswerStep = 0.1;
constexpr double kRecoveryPerSecond = 0.005;
constexpr double kMinLoadFactor = 0.1;
// A slow answer counts twice if the previous answer is at least this old.
constexpr double kRareAnswerSeconds = 2;

}  // namespace

void OutlierDetector::on_answer(Time now, bool slow) {
  // The fewer answers this balancer gets from the host, the more each one has to count: with
  // hundreds of balancers, halving alone would take longer than the overload lasts.
  const double weight = 1 + std::min(1.0, seconds(now - load_factor_at_) / kRareAnswerSeconds);
  load_factor_ =
      slow ? std::max(kMinLoadFactor, load_factor(now) * std::pow(kSlowAnswerFactor, weight))
           : std::min(1.0, load_factor(now) + kFastAnswerStep);
  load_factor_at_ = now;
}

double OutlierDetector::load_factor(Time now) const {
  return std::min(1.0, load_factor_ + kRecoveryPerSecond * seconds(now - load_factor_at_));
}

void OutlierDetector::restore_load_factor(Time now, double factor) {
  load_factor_ = std::clamp(factor, kMinLoadFactor, 1.0);
  load_factor_at_ = now;
}

void OutlierDetector::on_success() {
  consecutive_failures_ = 0;
  consecutive_errors_ = 0;
  ejected_until_ = Time{0};
}

void OutlierDetector::on_error(Time now, double jitter) {
  if (++consecutive_errors_ >= kConsecutiveErrors) on_failure(now, jitter);
}

void OutlierDetector::on_failure(Time now, double jitter) {
  if (is_ejected(now)) return;  // an attempt sent before the ejection
  consecutive_failures_ = std::min(consecutive_failures_ + 1, kMaxCountedFailures);
  const Duration base =
      std::min(kBaseEjectionTime * (1 << (consecutive_failures_ - 1)), kMaxEjectionTime);
  ejected_until_ = now + from_seconds(seconds(base) * (0.5 + jitter));
}

void OutlierDetector::on_restart() {
  on_success();
  load_factor_ = 1;
}

}  // namespace balancer

#include "policy/origin_gate.h"

#include <algorithm>
#include <cmath>

namespace silverpin {
namespace {

// The paper's figures (section V.C).
constexpr double kPeriod = 0.5;        // h
constexpr double kIntegralGain = 0.5;  // K_i
constexpr double kIntegralTime = 4;    // T_i
constexpr double kFilterTime = 1;      // T_f
constexpr double kResetTime = 2;       // T_t, which the paper wants below T_i
constexpr double kLeast = 0.05;        // first low point, and the rate below which it never goes
constexpr double kMost = 1;            // first high point

// A balancer of a large fleet sees a fetch or none in 0.5 s, and one slow fetch is no slow origin:
// a mean is taken over no fewer samples than this, unless they take longer than T_i to come.
constexpr int kLeastSamples = 4;

// Arrivals are smoothed over the controller's own integration time.
constexpr double kSmoothing = kPeriod / kIntegralTime;
// The turns that an idle gate saves up: a few, since misses come in clumps.
constexpr double kLeastDepth = 2;

}  // namespace

OriginGate::OriginGate(Duration target, Time now)
    : target_(std::max(seconds(target), 1e-3)),
      low_{kLeast, 0},
      high_{kMost, 2 * target_},  // the target lies midway until something is known
      period_start_(now),
      controlled_at_(now),
      last_sent_(now),
      tokens_(kLeastDepth),
      tokens_at_(now) {}

void OriginGate::on_read(Time now) {
  advance(now);
  ++reads_;
}

bool OriginGate::admit(Time now) {
  advance(now);
  const double rate = fraction_ * std::max(read_rate_, reads_ / kPeriod);
  const double depth = std::max(kLeastDepth, rate * kPeriod);
  tokens_ = std::min(depth, tokens_ + rate * seconds(now - tokens_at_));
  tokens_at_ = now;
  // A gate that sends nothing learns nothing and would stay shut: one fetch each T_i always goes.
  const bool overdue = seconds(now - last_sent_) >= kIntegralTime;
  if (fraction_ < kMost && tokens_ < 1 && !overdue) {
    refused_ = true;
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  last_sent_ = now;
  return true;
}

void OriginGate::on_sent(Time now) {
  last_sent_ = now;
  out_.add(now);
}

void OriginGate::on_done(Time sent, Time now, bool failed) {
  advance(now);
  on_dropped(sent);
  // A fetch that fails at once would otherwise look like a fast origin and open the gate.
  const double took = seconds(now - sent);
  on_sample(now, failed ? std::max(took, 2 * target_) : took);
}

void OriginGate::on_sample(Time now, double value) {
  advance(now);
  sum_ += value;
  ++samples_;
}

void OriginGate::advance(Time now) {
  while (seconds(now - period_start_) >= kPeriod) {
    // After a long silence only the last periods matter.
    if (seconds(now - period_start_) > 100 * kPeriod)
      period_start_ = now - from_seconds(10 * kPeriod);
    const Time end = period_start_ + from_seconds(kPeriod);
    end_period(end);
    period_start_ = end;
  }
}

void OriginGate::end_period(Time now) {
  read_rate_ += kSmoothing * (reads_ / kPeriod - read_rate_);
  reads_ = 0;
  int count = samples_;
  double sum = sum_;
  // Fetches still out beyond the target count with their age: a hung origin yields no finished
  // ones.
  for (const Time sent : out_) {
    if (seconds(now - sent) <= target_) break;
    sum += seconds(now - sent);
    ++count;
  }
  const bool waited = seconds(now - controlled_at_) >= kIntegralTime;
  if (count == 0 || (count < kLeastSamples && !waited)) return;
  control(sum / count, seconds(now - controlled_at_));
  controlled_at_ = now;
  sum_ = 0;
  samples_ = 0;
}

void OriginGate::control(double mean, double since) {
  const double error = target_ - mean;
  // Old points fade towards the first ones. Among many balancers the origin's time hardly follows
  // this one's rate, and a high point set by others' traffic would stay a ceiling for good.
  const double kept = std::exp(-since / kIntegralTime);
  low_ = {kLeast + kept * (low_.rate - kLeast), kept * low_.time};
  high_ = {kMost + kept * (high_.rate - kMost), 2 * target_ + kept * (high_.time - 2 * target_)};
  if (error < 0) {
    high_ = {fraction_, mean};
    if (low_.rate >= high_.rate) low_ = {kLeast, 0};  // what was fast at this rate is so no longer
  } else {
    low_ = {fraction_, mean};
    if (high_.rate <= low_.rate) high_ = {kMost, 2 * target_};
  }
  // Eq. (10). Both points may sit on one bound; then there is no slope to follow.
  const double gain =
      high_.time > low_.time ? (high_.rate - low_.rate) / (high_.time - low_.time) : 0;
  filtered_ += kPeriod / (kFilterTime + kPeriod) * (gain * error - filtered_);
  integral_ += kPeriod * kIntegralGain / kIntegralTime * error;
  const double wanted = fraction_ + filtered_ + integral_;
  fraction_ = std::clamp(wanted, kLeast, kMost);
  integral_ += kPeriod / kResetTime * (fraction_ - wanted);  // anti-windup
  // It cannot admit more than arrives: where nothing was refused the signal is saturated too,
  // however far below its bound. (A limit computed from the few arrivals of a period would be all
  // noise.)
  if (!refused_) integral_ -= kPeriod / kResetTime * integral_;
  refused_ = false;
}

}  // namespace silverpin

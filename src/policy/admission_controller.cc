#include "policy/admission_controller.h"

#include <cmath>

namespace balancer {
namespace {

// The paper's figures (section V.C), but for the period: half of its, since the queue of a tight
// origin grows by a second in a second.
constexpr double kPeriod = 0.25;       // h
constexpr double kIntegralGain = 0.5;  // K_i
constexpr double kIntegralTime = 4;    // T_i
constexpr double kFilterTime = 1;      // T_f
constexpr double kResetTime = 2;       // T_t, which the paper wants below T_i
constexpr double kMinFraction = 0.05;  // first low point, and the rate below which it never goes
constexpr double kMaxFraction = 1;     // first high point

// A balancer of a large fleet sees a fetch or none in a period, and one slow fetch is no slow
// origin: a mean is taken over no fewer samples than this, or as much time as these would be out at
// the target, unless they take longer than T_i to come.
constexpr int kMinSamples = 4;

// Arrivals are smoothed over the controller's own integration time.
constexpr double kSmoothing = kPeriod / kIntegralTime;
// The turns that an idle gate saves up: a few, since misses come in clumps.
constexpr double kMinDepth = 2;

// What was done is smoothed over kSeen, and the most of that counts, fading over kKnown: while a
// queue drains, or its clients have given up, little is seen to be done. Above the target it fades
// sooner, as an origin may have become slow for good.
constexpr double kSeen = 1;
constexpr double kKnown = 5;
constexpr double kKnownJammed = 2;
// A queue drains over so long, and no more than kMaxDrain of what can be done is kept back for it.
constexpr double kDrain = 2;
constexpr double kMaxDrain = 0.9;
// Opening: at once to this part of what was done, and from there by this much a second (e-fold). A
// queue shows nothing until the right value is passed, so that the way there must be slow.
constexpr double kBack = 0.85;
constexpr double kGrowth = 0.25;

}  // namespace

AdmissionController::AdmissionController(Duration target, Time now)
    : target_(std::max(seconds(target), 1e-3)),
      low_{kMinFraction, 0},
      high_{kMaxFraction, 2 * target_},  // the target lies midway until something is known
      period_start_(now),
      controlled_at_(now),
      last_sent_(now),
      tokens_(kMinDepth),
      tokens_at_(now),
      counted_at_(now) {}

void AdmissionController::on_read(Time now) {
  advance(now);
  ++reads_;
}

bool AdmissionController::admit(Time now) {
  advance(now);
  const double reads = std::max(read_rate_, reads_ / kPeriod);
  const double rate = admit_fraction_ * reads;
  const double depth = std::max(kMinDepth, rate * kPeriod);
  tokens_ = std::min(depth, tokens_ + rate * seconds(now - tokens_at_));
  tokens_at_ = now;
  // A gate that sends nothing learns nothing and would stay shut: one fetch each T_i always goes.
  const bool overdue = seconds(now - last_sent_) >= kIntegralTime;
  // By Little's law, whatever the opening: were all reads, or all that was seen to go well, fetched
  // at the target, so many would be out. More are a queue, which else grows until the next step
  // shows it: half a second of all reads, where the caches are lost behind a wide open gate.
  const bool queued = static_cast<double>(out_.size()) >=
                      std::max<double>(kMinSamples, std::max(reads, max_good_) * target_);
  if (((admit_fraction_ < kMaxFraction && tokens_ < 1) || queued) && !overdue) {
    refused_ = true;
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  last_sent_ = now;
  return true;
}

// By Little's law the time that a fetch takes is the seconds that all were out by the number that
// ended. So a queue shows as it grows, and not only once what was sent before it has come back.
void AdmissionController::count_out(Time now) {
  sum_ += static_cast<double>(out_.size()) * seconds(now - counted_at_);
  counted_at_ = now;
}

void AdmissionController::on_sent(Time now) {
  advance(now);
  count_out(now);
  last_sent_ = now;
  out_.add(now);
}

void AdmissionController::on_dropped(Time sent, Time now) {
  advance(now);
  count_out(now);
  out_.remove(sent);
}

void AdmissionController::on_done(Time sent, Time now, bool failed) {
  on_dropped(sent, now);
  ++samples_;
  good_ += !failed;
  // A fetch that fails at once would otherwise look like a fast origin and open the gate.
  if (failed) sum_ += std::max(0.0, 2 * target_ - seconds(now - sent));
}

void AdmissionController::on_sample(Time now, double value) {
  advance(now);
  sum_ += value;
  ++samples_;
  good_ += value < target_;
}

void AdmissionController::advance(Time now) {
  while (seconds(now - period_start_) >= kPeriod) {
    // After a long silence only the last periods matter.
    if (seconds(now - period_start_) > 100 * kPeriod)
      period_start_ = now - from_seconds(10 * kPeriod);
    const Time end = period_start_ + from_seconds(kPeriod);
    end_period(end);
    period_start_ = end;
  }
}

void AdmissionController::end_period(Time now) {
  // A mean at first, so that what has just started knows what arrives.
  read_rate_ += std::max(kSmoothing, 1.0 / ++periods_) * (reads_ / kPeriod - read_rate_);
  reads_ = 0;
  count_out(now);
  const double since = seconds(now - controlled_at_);
  const bool enough = samples_ >= kMinSamples || (!out_.empty() && sum_ >= kMinSamples * target_);
  if (!enough && (since < kIntegralTime || (samples_ == 0 && sum_ <= target_))) return;
  good_rate_ += (1 - std::exp(-since / kSeen)) * (good_ / since - good_rate_);
  const double mean = sum_ / std::max(1, samples_);
  const double known = mean > target_ ? kKnownJammed : kKnown;
  max_good_ = std::max(max_good_ * std::exp(-since / known), good_rate_);
  control(mean, since);
  controlled_at_ = now;
  sum_ = 0;
  samples_ = good_ = 0;
}

void AdmissionController::control(double mean, double since) {
  const double error = target_ - mean;
  // What is known to go well, as a share of what arrives.
  const double good = max_good_ / std::max(read_rate_, 1e-3);
  // Old points fade towards the first ones. Among many balancers the origin's time hardly follows
  // this one's rate, and a high point set by others' traffic would stay a ceiling for good.
  const double kept = std::exp(-since / kIntegralTime);
  low_ = {kMinFraction + kept * (low_.rate - kMinFraction), kept * low_.time};
  high_ = {kMaxFraction + kept * (high_.rate - kMaxFraction),
           2 * target_ + kept * (high_.time - 2 * target_)};
  if (error < 0) {
    // An overloaded server's time grows for as long as the rate is too high, whatever the rate: old
    // points tell nothing. But it shows what it can do, and at that rate, less what is queued, it
    // would be at the target. Interpolation lands there; filter and integral start anew.
    const double drain = std::min(kMaxDrain, -error / kDrain);
    high_ = {admit_fraction_, mean};
    low_ = {std::clamp(good * (1 - drain), kMinFraction, admit_fraction_), target_};
    admit_fraction_ = low_.rate;
    filtered_ = integral_ = 0;
  } else {
    low_ = {admit_fraction_, mean};
    if (high_.rate <= low_.rate) high_ = {kMaxFraction, 2 * target_};
    // Eq. (10). Both points may sit on one bound; then there is no slope to follow.
    const double gain =
        high_.time > low_.time ? (high_.rate - low_.rate) / (high_.time - low_.time) : 0;
    const double h = std::min(since, kFilterTime);
    filtered_ += h / (kFilterTime + h) * (gain * error - filtered_);
    const double most = std::max(kBack * good, admit_fraction_ * std::exp(kGrowth * since));
    if (admit_fraction_ + filtered_ + integral_ < most)
      integral_ += h * kIntegralGain / kIntegralTime * error;
    const double wanted = std::min(most, admit_fraction_ + filtered_ + integral_);
    admit_fraction_ = std::clamp(wanted, kMinFraction, kMaxFraction);
    integral_ += h / kResetTime * (admit_fraction_ - wanted);  // anti-windup
    // It cannot admit more than arrives: where nothing was refused the signal is saturated too,
    // however far below its bound. (A limit computed from the few arrivals of a period would be all
    // noise.)
    if (!refused_) integral_ -= h / kResetTime * integral_;
  }
  refused_ = false;
}

}  // namespace balancer

#include "policy/admission_controller.h"

#include <cmath>

namespace balancer {
namespace {

// The paper's parameters (section V.C), but for the period, which is half of its: the queue of an
// overloaded origin grows by a second per second.
constexpr double kPeriodSeconds = 0.25;  // h: sampling period
constexpr double kIntegralGain = 0.5;    // K_i
constexpr double kIntegralSeconds = 4;   // T_i
constexpr double kFilterSeconds = 1;     // T_f: low-pass filter of the proportional part
constexpr double kResetSeconds = 2;      // T_t: anti-windup; the paper wants it below T_i
constexpr double kMinFraction = 0.05;    // lower bound of the admit fraction, and first low point
constexpr double kMaxFraction = 1;       // upper bound, and first high point

// A balancer of a large fleet sees a fetch or none in a period, and one slow fetch does
// not make a slow origin: a mean is taken over no fewer samples than this, or as much time as these
// would be in flight at the target, unless they take longer than T_i to come.
constexpr int kMinSamples = 4;

// Arrivals are smoothed over the controller's own integration time.
constexpr double kSmoothing = kPeriodSeconds / kIntegralSeconds;
// Tokens that an idle controller saves up: a few, since misses come in bursts.
constexpr double kMinBurst = 2;

// The rate of good samples is smoothed over kGoodRateSeconds, and its recent maximum counts, which
// decays over kMaxGoodSeconds: while a queue drains, or its clients have gone, few good samples
// come. Above the target the maximum decays sooner, as an origin may have become slow for good.
constexpr double kGoodRateSeconds = 1;
constexpr double kMaxGoodSeconds = 5;
constexpr double kMaxGoodOverloadedSeconds = 2;
// A queue is drained over so long, by holding back at most kMaxDrainShare of the good rate.
constexpr double kDrainSeconds = 2;
constexpr double kMaxDrainShare = 0.9;
// The admit fraction rises at once to this share of the good rate, and from there by this much a
// second (e-fold). A queue shows nothing until the right value is passed, so it rises slowly.
constexpr double kReopenShare = 0.85;
constexpr double kGrowthPerSecond = 0.25;

}  // namespace

AdmissionController::AdmissionController(Duration target, Time now)
    : target_(std::max(seconds(target), 1e-3)),
      low_{kMinFraction, 0},
      high_{kMaxFraction, 2 * target_},  // the target lies midway until something is known
      period_started_at_(now),
      controlled_at_(now),
      last_admitted_at_(now),
      tokens_(kMinBurst),
      tokens_at_(now),
      accumulated_at_(now) {}

void AdmissionController::on_read(Time now) {
  advance(now);
  ++reads_;
}

bool AdmissionController::admit(Time now) {
  advance(now);
  const double reads = std::max(read_rate_, reads_ / kPeriodSeconds);
  const double rate = admit_fraction_ * reads;
  const double depth = std::max(kMinBurst, rate * kPeriodSeconds);
  tokens_ = std::min(depth, tokens_ + rate * seconds(now - tokens_at_));
  tokens_at_ = now;
  // A controller that admits nothing learns nothing and would stay closed: one fetch each T_i is
  // always admitted.
  const bool is_overdue = seconds(now - last_admitted_at_) >= kIntegralSeconds;
  // By Little's law, whatever the admit fraction: were all reads, or the recent maximum of good
  // ones, fetched at the target, so many would be in flight. More are a queue, which would grow
  // until the next step shows it: half a second of all reads, where the caches are lost while all
  // are admitted.
  const bool is_queued = static_cast<double>(in_flight_.size()) >=
                         std::max<double>(kMinSamples, std::max(reads, max_good_) * target_);
  if (((admit_fraction_ < kMaxFraction && tokens_ < 1) || is_queued) && !is_overdue) {
    has_rejected_ = true;
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  last_admitted_at_ = now;
  return true;
}

// By Little's law the mean time of a fetch is the time that all were in flight, summed, divided by
// the number that ended. So a queue shows as it grows, and not only once its fetches have ended.
void AdmissionController::accumulate_in_flight(Time now) {
  sample_sum_ += static_cast<double>(in_flight_.size()) * seconds(now - accumulated_at_);
  accumulated_at_ = now;
}

void AdmissionController::on_sent(Time now) {
  advance(now);
  accumulate_in_flight(now);
  last_admitted_at_ = now;
  in_flight_.add(now);
}

void AdmissionController::on_dropped(Time sent, Time now) {
  advance(now);
  accumulate_in_flight(now);
  in_flight_.remove(sent);
}

void AdmissionController::on_done(Time sent, Time now, bool failed) {
  on_dropped(sent, now);
  ++samples_;
  good_samples_ += !failed;
  // A fetch that fails at once would otherwise look like a fast origin. It counts as twice the
  // target.
  if (failed) sample_sum_ += std::max(0.0, 2 * target_ - seconds(now - sent));
}

void AdmissionController::on_sample(Time now, double value) {
  advance(now);
  sample_sum_ += value;
  ++samples_;
  good_samples_ += value < target_;
}

void AdmissionController::advance(Time now) {
  while (seconds(now - period_started_at_) >= kPeriodSeconds) {
    // After a long silence only the last periods matter.
    if (seconds(now - period_started_at_) > 100 * kPeriodSeconds)
      period_started_at_ = now - from_seconds(10 * kPeriodSeconds);
    const Time end = period_started_at_ + from_seconds(kPeriodSeconds);
    end_period(end);
    period_started_at_ = end;
  }
}

void AdmissionController::end_period(Time now) {
  // A plain mean at first, so that the rate is known soon after the start.
  read_rate_ += std::max(kSmoothing, 1.0 / ++periods_) * (reads_ / kPeriodSeconds - read_rate_);
  reads_ = 0;
  accumulate_in_flight(now);
  const double since = seconds(now - controlled_at_);
  const bool enough =
      samples_ >= kMinSamples || (!in_flight_.empty() && sample_sum_ >= kMinSamples * target_);
  if (!enough && (since < kIntegralSeconds || (samples_ == 0 && sample_sum_ <= target_))) return;
  good_rate_ += (1 - std::exp(-since / kGoodRateSeconds)) * (good_samples_ / since - good_rate_);
  const double mean = sample_sum_ / std::max(1, samples_);
  const double memory = mean > target_ ? kMaxGoodOverloadedSeconds : kMaxGoodSeconds;
  max_good_ = std::max(max_good_ * std::exp(-since / memory), good_rate_);
  control(mean, since);
  controlled_at_ = now;
  sample_sum_ = 0;
  samples_ = good_samples_ = 0;
}

void AdmissionController::control(double mean, double since) {
  const double error = target_ - mean;
  // The recent maximum of the good rate, as a fraction of what arrives.
  const double good = max_good_ / std::max(read_rate_, 1e-3);
  // Old points fade towards the first ones. Among many balancers the origin's time hardly follows
  // this one's rate, and a high point set by others' traffic would stay a ceiling for good.
  const double kept = std::exp(-since / kIntegralSeconds);
  low_ = {kMinFraction + kept * (low_.rate - kMinFraction), kept * low_.time};
  high_ = {kMaxFraction + kept * (high_.rate - kMaxFraction),
           2 * target_ + kept * (high_.time - 2 * target_)};
  if (error < 0) {
    // An overloaded server's time grows for as long as the rate is too high, whatever the rate: old
    // points tell nothing. But its good rate shows its capacity, and at that rate, less what drains
    // the queue, it would be at the target. Filter and integral start anew there.
    const double drain = std::min(kMaxDrainShare, -error / kDrainSeconds);
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
    const double h = std::min(since, kFilterSeconds);
    filtered_ += h / (kFilterSeconds + h) * (gain * error - filtered_);
    const double max_fraction =
        std::max(kReopenShare * good, admit_fraction_ * std::exp(kGrowthPerSecond * since));
    if (admit_fraction_ + filtered_ + integral_ < max_fraction)
      integral_ += h * kIntegralGain / kIntegralSeconds * error;
    const double wanted = std::min(max_fraction, admit_fraction_ + filtered_ + integral_);
    admit_fraction_ = std::clamp(wanted, kMinFraction, kMaxFraction);
    integral_ += h / kResetSeconds * (admit_fraction_ - wanted);  // anti-windup
    // It cannot admit more than arrives: where nothing was rejected the output is saturated too,
    // however far below its bound. A limit computed from the few arrivals of a period would be
    // noise.
    if (!has_rejected_) integral_ -= h / kResetSeconds * integral_;
  }
  has_rejected_ = false;
}

}  // namespace balancer

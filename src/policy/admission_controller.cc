#include "policy/admission_controller.h"

#include <cmath>

namespace balancer {
namespace {

// The parameters of the paper (section V.C), except that the sampling period is half as long,
// because the queue of an overloaded origin can grow by one second per second.
constexpr double kPeriodSeconds = 0.25;  // h: sampling period
constexpr double kIntegralGain = 0.5;    // K_i
constexpr double kIntegralSeconds = 4;   // T_i
constexpr double kFilterSeconds = 1;     // T_f: low-pass filter of the proportional part
constexpr double kResetSeconds = 2;    // T_t: anti-windup; must be below T_i according to the paper
constexpr double kMinFraction = 0.05;  // lower bound of the admit fraction, and initial low point
constexpr double kMaxFraction = 1;     // upper bound, and initial high point

// In a large fleet a balancer sees at most one fetch in most periods, and a single slow fetch does
// not show that the origin is slow. A mean is therefore taken over at least this many samples, or
// over the total time in flight that this many fetches would have at the target, unless collecting
// them takes longer than T_i.
constexpr int kMinSamples = 4;

// Arrivals are smoothed over the controller's own integration time.
constexpr double kSmoothing = kPeriodSeconds / kIntegralSeconds;
// Tokens that an idle controller accumulates; more than one, because misses arrive in bursts.
constexpr double kMinBurst = 2;

// The rate of good samples is smoothed over kGoodRateSeconds. The controller uses its recent
// maximum, which decays over kMaxGoodSeconds, because few good samples arrive while a queue drains
// or after its clients have disconnected. Above the target the maximum decays faster, since the
// origin may have become slow permanently.
constexpr double kGoodRateSeconds = 1;
constexpr double kMaxGoodSeconds = 5;
constexpr double kMaxGoodOverloadedSeconds = 2;
// Time over which a queue is drained. At most kMaxDrainShare of the good rate is withheld for it.
constexpr double kDrainSeconds = 2;
constexpr double kMaxDrainShare = 0.9;
// The admit fraction rises immediately to kFastRecoveryShare of the good rate, and from there
// exponentially at kGrowthPerSecond. The growth is slow because the fetch duration does not change
// until the fraction exceeds the origin's capacity and a queue forms.
constexpr double kFastRecoveryShare = 0.85;
constexpr double kGrowthPerSecond = 0.25;

}  // namespace

AdmissionController::AdmissionController(Duration target, Time now)
    : target_(std::max(seconds(target), 1e-3)),
      low_{kMinFraction, 0},
      high_{kMaxFraction, 2 * target_},  // puts the target midway until samples arrive
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
  // A controller that admits nothing gets no samples and would stay closed, so one fetch per T_i is
  // always admitted.
  const bool is_overdue = seconds(now - last_admitted_at_) >= kIntegralSeconds;
  // By Little's law, if all reads, or the recent maximum of good ones, are fetched at the target,
  // the number of fetches in flight is their rate times the target. A larger number means that a
  // queue has formed, whatever the admit fraction is. Without this bound the queue would grow until
  // the next controller step: by half a second of all reads if the caches are lost while everything
  // is admitted.
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

// By Little's law, the mean duration of a fetch is the total time in flight of all fetches divided
// by the number of fetches that ended. A queue is thus detected while it grows, and not only after
// its fetches have ended.
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
  // A failed fetch counts as at least twice the target; otherwise an origin that fails immediately
  // would look fast.
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
    // After a long time without calls only the last 10 periods are simulated.
    if (seconds(now - period_started_at_) > 100 * kPeriodSeconds)
      period_started_at_ = now - from_seconds(10 * kPeriodSeconds);
    const Time end = period_started_at_ + from_seconds(kPeriodSeconds);
    end_period(end);
    period_started_at_ = end;
  }
}

void AdmissionController::end_period(Time now) {
  // Starts as a plain mean, so that the rate is known soon after the start.
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
  // Old points decay towards the initial ones. With many balancers the fetch duration hardly
  // depends on this balancer's rate, so a high point caused by other balancers' traffic would
  // otherwise limit it permanently.
  const double retained = std::exp(-since / kIntegralSeconds);
  low_ = {kMinFraction + retained * (low_.rate - kMinFraction), retained * low_.time};
  high_ = {kMaxFraction + retained * (high_.rate - kMaxFraction),
           2 * target_ + retained * (high_.time - 2 * target_)};
  if (error < 0) {
    // The fetch duration of an overloaded origin grows for as long as the rate is too high,
    // regardless of how high it is, so old points are useless. Its rate of good answers shows its
    // capacity: at that rate, minus the share that drains the queue, the duration would be at the
    // target. The filter and the integral are reset at that point.
    const double drain = std::min(kMaxDrainShare, -error / kDrainSeconds);
    high_ = {admit_fraction_, mean};
    low_ = {std::clamp(good * (1 - drain), kMinFraction, admit_fraction_), target_};
    admit_fraction_ = low_.rate;
    filtered_ = integral_ = 0;
  } else {
    low_ = {admit_fraction_, mean};
    if (high_.rate <= low_.rate) high_ = {kMaxFraction, 2 * target_};
    // Eq. (10). If both points are at the same bound, the slope is undefined and the gain is 0.
    const double gain =
        high_.time > low_.time ? (high_.rate - low_.rate) / (high_.time - low_.time) : 0;
    const double h = std::min(since, kFilterSeconds);
    filtered_ += h / (kFilterSeconds + h) * (gain * error - filtered_);
    const double max_fraction =
        std::max(kFastRecoveryShare * good, admit_fraction_ * std::exp(kGrowthPerSecond * since));
    if (admit_fraction_ + filtered_ + integral_ < max_fraction)
      integral_ += h * kIntegralGain / kIntegralSeconds * error;
    const double unclamped = std::min(max_fraction, admit_fraction_ + filtered_ + integral_);
    admit_fraction_ = std::clamp(unclamped, kMinFraction, kMaxFraction);
    integral_ += h / kResetSeconds * (admit_fraction_ - unclamped);  // anti-windup
    // The controller cannot admit more than arrives, so its output is also saturated if nothing was
    // rejected, however far the fraction is below its bound. An explicit limit computed from the
    // few arrivals of a period would be too noisy.
    if (!has_rejected_) integral_ -= h / kResetSeconds * integral_;
  }
  has_rejected_ = false;
}

}  // namespace balancer

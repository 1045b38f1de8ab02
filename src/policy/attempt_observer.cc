#include "policy/attempt_observer.h"

namespace balancer {
namespace {

// Number of recent answers that the ratios are averaged over, approximately.
constexpr double kRatioSamples = 32;
constexpr double kScarceConnectFailureRatio = 0.05;

}  // namespace

AttemptObserver::AttemptObserver(const Targets& targets)
    : targets_(targets), slow_answer_ratio_(kRatioSamples), connect_failure_ratio_(kRatioSamples) {}

void AttemptObserver::on_first_byte(Time now, const AttemptRecord& attempt) {
  const OutcomeRule& rule = outcome_rule(Result::kOk);
  if (targets_.hosts[attempt.host].is_origin) {
    observe_origin(now, attempt, rule.origin);
  } else {
    observe_host(now, attempt, rule.host);
  }
}

void AttemptObserver::on_slow(Time now, const AttemptRecord& attempt) {
  observe_host(now, attempt, HostSignal::kOverloaded);
}

// An answer that was already counted at its first byte is not counted again at its end.
void AttemptObserver::on_outcome(Time now, const AttemptRecord& attempt, const OutcomeRule& rule,
                                 Result result) {
  const HostRegistry::Host& host = targets_.hosts[attempt.host];
  // A time-out shorter than what the origin may take says nothing about the server: the client gave
  // it too little time.
  const bool is_client_impatient =
      result == Result::kTimeout && now - attempt.sent_at < targets_.origin_admission.target();
  if (host.is_origin) {
    if (!attempt.is_answering)
      observe_origin(now, attempt, is_client_impatient ? OriginSignal::kNone : rule.origin);
  } else {
    targets_.zones.on_outcome(now, host.zone, is_client_impatient ? ZoneSignal::kNone : rule.zone,
                              targets_.random);
    if (!attempt.is_answering || rule.host != HostSignal::kInTime)
      observe_host(now, attempt, rule.host);
  }
  connect_failure_ratio_.add(result == Result::kConnectFailed);
}

bool AttemptObserver::connections_are_scarce() const {
  return connect_failure_ratio_.value() > kScarceConnectFailureRatio;
}

void AttemptObserver::observe_origin(Time now, const AttemptRecord& attempt, OriginSignal signal) {
  if (signal == OriginSignal::kNone) {
    targets_.origin_admission.on_dropped(attempt.sent_at, now);
  } else {
    targets_.origin_admission.on_done(attempt.sent_at, now, signal == OriginSignal::kFailed);
  }
}

void AttemptObserver::observe_host(Time now, const AttemptRecord& attempt, HostSignal signal) {
  OutlierDetector& outlier = targets_.outliers[attempt.host];
  switch (signal) {
    case HostSignal::kNone:
      break;
    case HostSignal::kInTime:
      outlier.on_success();
      record_latency(now, attempt, false);
      break;
    case HostSignal::kOverloaded:
      record_latency(now, attempt, true);
      break;
    case HostSignal::kError:
      outlier.on_error(now, targets_.random.next());
      break;
    case HostSignal::kFailure:
      outlier.on_failure(now, targets_.random.next());
      break;
  }
}

// An attempt that was already counted as slow while in flight is not counted again at its end.
void AttemptObserver::record_latency(Time now, const AttemptRecord& attempt, bool slow) {
  if (attempt.counted_slow) return;
  targets_.outliers[attempt.host].on_answer(now, slow);
  slow_answer_ratio_.add(slow);
  targets_.cache_admission.on_sample(now, slow ? 1 : 0);
}

}  // namespace balancer

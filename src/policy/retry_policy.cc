#include "policy/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace balancer {
namespace {

// Retries at caches, hedged requests and repeated fetches together are limited to a tenth of the
// requests, plus a small reserve for balancers with little traffic.
constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaxRetryBudget = 5;
constexpr Duration kResendBackoff = std::chrono::milliseconds(50);

}  // namespace

RetryPolicy::RetryPolicy(const Settings& settings, const HostRegistry& hosts)
    : settings_(settings), hosts_(hosts), budget_(kMaxRetryBudget) {}

void RetryPolicy::on_request() {
  budget_ = std::min(budget_ + kRetriesPerRequest, kMaxRetryBudget);
}

bool RetryPolicy::has_attempts_left(const RequestState& request) const {
  const int attempts = static_cast<int>(request.attempts.size()) - request.withdrawn_attempts;
  return attempts < settings_.max_attempts;
}

bool RetryPolicy::may_attempt(const RequestState& request, const HostRegistry::Host& host,
                              Time now) const {
  const RequestClass& request_class = class_of(request);
  if (request.is_overtaken) return false;
  if (!settings_.hedging && request.in_flight() > 0) return false;
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  for (const AttemptRecord& earlier : request.attempts) {
    if (earlier.state == AttemptState::kNeverRan || earlier.state == AttemptState::kMissed)
      continue;
    if (request_class.idempotency == Idempotency::kNone) return false;
    if (!is_deduplicated(earlier, request_class, host, now)) return false;
  }
  return true;
}

// Returns whether `host` discards a repetition of a request that `earlier` may have executed.
bool RetryPolicy::is_deduplicated(const AttemptRecord& earlier, const RequestClass& request_class,
                                  const HostRegistry::Host& host, Time now) const {
  const HostRegistry::Host& first = hosts_[earlier.host];
  const bool same_zone = first.zone == host.zone;
  const bool same_cell = same_zone && first.cell == host.cell;
  if (request_class.scope == DeduplicationScope::kZone && !same_zone) return false;
  if (request_class.scope == DeduplicationScope::kCell && !same_cell) return false;
  // A process that started behind the attempt does not know of it.
  const bool is_later_process = host.start && host.start->at > earlier.sent_at;
  return !is_later_process && now < earlier.sent_at + request_class.deduplication_window;
}

bool RetryPolicy::is_retry(const RequestState& request) const {
  if (request.attempts.empty()) return false;
  const AttemptRecord& last = request.attempts.back();
  return last.state != AttemptState::kMissed && !last.host_did_no_work &&
         !retries_same_host(request);
}

bool RetryPolicy::retries_same_host(const RequestState& request) const {
  return request.attempts.size() == 1 && request.attempts.back().was_reset;
}

bool RetryPolicy::may_hedge(const RequestState& request, Time now) const {
  return now < request.objective_at && may_send_beside_stalled(request);
}

bool RetryPolicy::may_send_beside_stalled(const RequestState& request) const {
  return request.in_flight() == 1 && settings_.hedging &&
         class_of(request).idempotency == Idempotency::kIdempotent;
}

bool RetryPolicy::may_reject(const RequestState& request) const {
  const RequestClass& request_class = class_of(request);
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kIdempotencyKey &&
      request_class.scope == DeduplicationScope::kAll && settings_.clients_know_windows)
    return true;
  return request.in_flight() + request.count(AttemptState::kMayHaveRun) == 0;
}

Duration RetryPolicy::resend_backoff(const RequestState& request, double jitter) {
  const double backoff = seconds(kResendBackoff) * std::pow(2.0, request.attempts.size());
  return from_seconds(backoff * (0.5 + jitter));
}

}  // namespace balancer

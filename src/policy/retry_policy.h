#pragma once

#include "hosts/host_registry.h"
#include "policy/policy_settings.h"
#include "policy/request_state.h"
#include "structures/time.h"

namespace balancer {

// When a request may have a further attempt or a hedged one, and when a rejection may be promised.
class RetryPolicy {
 public:
  // Both are referred to and outlive it.
  RetryPolicy(const Settings& settings, const HostRegistry& hosts);

  // A request arrived: it adds its part to the retry budget.
  void on_request();
  // Whether the retry budget allows one more retry. Time-outs and full queues that each bring
  // another attempt multiply the load that caused them.
  bool has_budget() const { return budget_ >= 1; }
  void spend_budget() { budget_ -= 1; }

  // Whether the request has attempts left.
  bool has_attempts_left(const RequestState& request) const;
  // Whether an attempt at `host` cannot have an effect that an earlier one may have had: a second
  // run of a request that is not idempotent, or of a keyed one where no host remembers the first,
  // would book or charge again.
  bool may_attempt(const RequestState& request, const HostRegistry::Host& host, Time now) const;
  // Whether the next attempt at a cache counts against the retry budget. A follower that asks again
  // after a fetch is no retry, nor is an attempt after one that cost no host any work.
  bool is_retry(const RequestState& request) const;
  // Whether the host of the first attempt may be asked once more. Where its connection broke, the
  // host and its copy of the key are still there, as long as it is not ejected. That is no sign of
  // load and comes once a request, so it needs no retry budget.
  bool retries_same_host(const RequestState& request) const;
  // Whether a slow attempt may get a hedged request beside it.
  bool may_hedge(const RequestState& request, Time now) const;
  // Whether the request may be rejected in place of failed: a rejection tells the client that a
  // retry does no harm.
  bool may_reject(const RequestState& request) const;
  // Time until a write that never ran is sent again: 100 ms after the first attempt, doubled with
  // each further one, times 0.5 to 1.5. `jitter`: random, in [0, 1).
  static Duration resend_backoff(const RequestState& request, double jitter);

 private:
  const RequestClass& class_of(const RequestState& request) const {
    return settings_.classes[request.request_class];
  }
  bool is_deduplicated(const AttemptRecord& earlier, const RequestClass& request_class,
                       const HostRegistry::Host& host, Time now) const;

  const Settings& settings_;
  const HostRegistry& hosts_;
  double budget_;  // retries
};

}  // namespace balancer

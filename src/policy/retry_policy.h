#pragma once

#include "hosts/host_registry.h"
#include "policy/policy_settings.h"
#include "policy/request_state.h"
#include "structures/time.h"

namespace balancer {

// Decides whether a request may be retried or hedged, and whether it may be rejected as safe to
// retry.
class RetryPolicy {
 public:
  // Both are held by reference and must outlive this object.
  RetryPolicy(const Settings& settings, const HostRegistry& hosts);

  // Adds the share of an arrived request to the retry budget.
  void on_request();
  // Returns whether the retry budget allows one more retry. If every time-out and every full queue
  // led to another attempt, retries would multiply the load that caused them.
  bool has_budget() const { return budget_ >= 1; }
  void spend_budget() { budget_ -= 1; }

  // Returns whether the request has attempts left.
  bool has_attempts_left(const RequestState& request) const;
  // Returns whether an attempt at `host` cannot repeat an effect of an earlier attempt. A second
  // execution of a request that is not idempotent, or of a keyed request on a host that does not
  // know the first execution, could for example book or charge twice. A read that a later write of
  // its client has overtaken would show the effect of that write.
  bool may_attempt(const RequestState& request, const HostRegistry::Host& host, Time now) const;
  // Returns whether the next attempt at a cache counts against the retry budget. The attempt of a
  // follower after a fetch does not count, nor does an attempt after one that cost no host any
  // work.
  bool is_retry(const RequestState& request) const;
  // Returns whether the host of the first attempt may be tried once more. If only the connection
  // broke, the host still has its copy of the key, as long as it is not ejected. A broken
  // connection is no sign of load, and this happens at most once per request, so it needs no retry
  // budget.
  bool retries_same_host(const RequestState& request) const;
  // Returns whether a hedged request may be sent in addition to the slow attempt.
  bool may_hedge(const RequestState& request, Time now) const;
  // Returns whether the request may be sent elsewhere while the answer to its only attempt has
  // stopped in the middle.
  bool may_send_beside_stalled(const RequestState& request) const;
  // Returns whether the request may be rejected rather than failed. A rejection tells the client
  // that a retry is safe.
  bool may_reject(const RequestState& request) const;
  // Returns the time until a write that was not executed is sent again: 100 ms after the first
  // attempt, doubled with each further attempt, times 0.5 to 1.5. `jitter`: random, in [0, 1).
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

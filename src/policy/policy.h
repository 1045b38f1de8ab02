#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hosts/host_registry.h"
#include "policy/admission_controller.h"
#include "policy/attempt_observer.h"
#include "policy/fetch_coalescer.h"
#include "policy/fleet_slow_start.h"
#include "policy/hash_ring.h"
#include "policy/host_selector.h"
#include "policy/hot_key_spread.h"
#include "policy/outcome_table.h"
#include "policy/outlier_detector.h"
#include "policy/policy_settings.h"
#include "policy/poll_backoff.h"
#include "policy/request.h"
#include "policy/request_state.h"
#include "policy/retry_policy.h"
#include "policy/service_time_floor.h"
#include "policy/tenant_quota.h"
#include "policy/uniform_random.h"
#include "policy/zone_failure_detector.h"
#include "structures/numbered_values.h"

namespace balancer {

// Receives the actions of the policy. The functions are called from within the policy's event
// functions and must not call back into the policy.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Starts an attempt that must end by `until`. The attempts of a request are numbered from 0.
  virtual void send(RequestId id, std::string_view host, Time until) = 0;
  // Sends a rejection as the final answer: the client can safely retry. `retry_after`: 0 for none.
  virtual void reject(RequestId id, Duration retry_after) = 0;
  // Sends a failure as the final answer: the request may have been executed.
  virtual void fail(RequestId id) = 0;
  // Requests a call of Policy::on_timer() with `tag` at time `at`.
  virtual void set_timer(Time at, std::uint64_t tag) = 0;
  // Reports that a timer is no longer needed. It may still fire without effect.
  virtual void cancel_timer(std::uint64_t) {}
  // Requests a poll of the host list.
  virtual void poll_endpoint_list() = 0;
  // Closes the idle connections to a host.
  virtual void close_idle(std::string_view host) = 0;
};

// Makes the decisions of one balancer. It receives events and emits actions through the sink. It
// does no I/O, reads no clock, starts no threads and shares no state with other instances. `now`
// must not decrease from one call to the next. Each decision is implemented by a module of its own
// in this folder; this class calls the modules in the order of a request's life cycle.
class Policy {
 public:
  // `placement` lists the candidate hosts of a key and must outlive the policy; a hash ring is used
  // if it is null.
  Policy(const Settings& settings, std::uint64_t seed, Time now, ActionSink& sink,
         Placement* placement = nullptr);

  // Handles a host list, or the rejection of a poll (ListKind::kRejected).
  void on_hosts(Time now, ListKind kind, const std::vector<HostEntry>& entries);
  void on_request(Time now, const Request& request);
  // Handles the end of an attempt. Outcomes of unknown requests and attempts are ignored.
  void on_outcome(Time now, const Outcome& outcome);
  // Handles the first byte of the request's answer. `attempt`: the attempt that received it, if
  // known. The remaining duration of that attempt depends on how fast the client reads and is not
  // counted for its host.
  void on_first_byte(Time now, RequestId id, std::optional<int> attempt = std::nullopt);
  // Handles an answer that has begun and stopped arriving. It may still be completed, so the
  // attempt goes on; the request may be sent elsewhere beside it.
  void on_answer_stalled(Time now, RequestId id, int attempt);
  // Handles the cancellation of the request by its client.
  void on_request_cancelled(Time now, RequestId id);
  void on_timer(Time now, std::uint64_t tag);

  using OperatorOverride = HostRegistry::OperatorOverride;
  // Takes a cache host out of service or returns it to service on an operator's request. No new
  // attempts are sent to the host while it is out of service, regardless of host lists. Returns
  // false if HostRegistry does not accept the override: the host is neither a listed cache host nor
  // overridden already, or there are too many overrides.
  bool set_out_of_service(Time now, std::string_view host, bool out);
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return host_registry_.overrides();
  }
  // Restores an override of the predecessor process. The host need not be listed.
  void restore(Time now, std::string_view host, OperatorOverride operator_override);

  // State that a successor process would otherwise have to learn again.
  struct PolicyCheckpoint {
    double work_rate;              // work sent to cache hosts, in seconds per second
    double origin_admit_fraction;  // admit fraction of fetches, 0 to 1
    double caches_admit_fraction;  // admit fraction of reads, 0 to 1
    std::vector<std::pair<std::string, double>> load_factors;  // by host, those below 1
  };
  PolicyCheckpoint checkpoint(Time now) const;
  void restore(Time now, const PolicyCheckpoint& from);

  // Returns the number of indices in the host registry, including free ones.
  std::size_t host_slot_count() const { return host_registry_.size(); }
  // Returns the current state of the host, or null if it is not in the registry.
  const HostRegistry::Host* host(std::string_view id) const;

 private:
  using HostIndex = Placement::Host;
  using Host = HostRegistry::Host;

  enum class TimerKind { kDeadline, kSlow, kResend, kPollHosts };
  struct Timer {
    TimerKind kind;
    RequestId id;
  };

  // ---- hosts
  void apply(const std::vector<HostRegistry::HostChange>& changes);
  void apply(const HostRegistry::HostChange& change);

  // ---- the only functions that send attempts and final answers
  bool send(RequestState& request, HostIndex host, Time until);
  void reject_or_fail(RequestState& request);
  void reject_or_fail_if_idle(RequestState& request);

  // ---- routing of requests
  void route(RequestState& request, int tenant);
  void route_read(RequestState& request);
  void send_write(RequestState& request);
  void send_to_cache(RequestState& request, std::optional<HostIndex> stored_at = std::nullopt);
  void fetch_after_miss(RequestState& request);
  void fetch_bypassing_caches(RequestState& request);
  bool send_admitted_fetch(RequestState& request);
  bool is_shed_first(const RequestState& request, const AdmissionController& admission) const;
  bool is_origin_busy() const;

  // ---- handling of ended and slow attempts
  bool continue_request(RequestState& request, const AttemptRecord& attempt, NextStep step);
  void continue_write(RequestState& request, const AttemptRecord& attempt);
  bool refetch(RequestState& request, NextStep step);
  void complete_fetch(const RequestState& leader, bool stored);
  void on_slow_attempt(RequestState& request);
  void erase_if_done(RequestId id);

  void close_idle_if_scarce(HostIndex host);
  Duration slow_threshold(const RequestState& request) const;
  Duration time_left(const RequestState& request) const { return request.deadline - now_; }

  std::uint64_t add_timer(Time at, TimerKind kind, RequestId id = 0);  // returns its tag

  const Settings settings_;
  ActionSink& sink_;
  UniformRandom random_;
  Time now_;
  AdmissionController origin_admission_;  // fetches, controlled by their duration
  AdmissionController cache_admission_;   // reads, controlled by the share of slow answers
  HashRing ring_;
  Placement& placement_;
  HostRegistry host_registry_;
  std::vector<OutlierDetector> outliers_;  // by index in the registry
  ZoneFailureDetector zones_;
  FleetSlowStart slow_start_;
  RetryPolicy retry_policy_;
  HostSelector host_selector_;
  AttemptObserver attempt_observer_;
  HotKeySpread hot_keys_;
  TenantQuota tenant_quota_;
  ServiceTimeFloor cache_service_time_, fetch_service_time_;
  FetchCoalescer fetches_;
  PollBackoff poll_backoff_;
  std::unordered_map<RequestId, RequestState> requests_;
  NumberedValues<Timer> timers_;  // by tag
  double mean_work_;              // seconds, for requests without a hint
};

}  // namespace balancer

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
#include "policy/tenant_quota.h"
#include "policy/uniform_random.h"
#include "policy/zone_failure_detector.h"
#include "structures/numbered_queue.h"

namespace balancer {

// What the policy wants done. Calls come from within the policy's event functions; none of them may
// call back into the policy.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Starts an attempt, which ends by `until`. Attempts of a request are numbered from 0.
  virtual void send(RequestId id, std::string_view host, Time until) = 0;
  // The final answer: nothing ran that a retry could repeat to harm. `retry_after`: 0 for none.
  virtual void reject(RequestId id, Duration retry_after) = 0;
  // The final answer where the request may have run.
  virtual void fail(RequestId id) = 0;
  // Calls Policy::on_timer with the tag at that time.
  virtual void set_timer(Time at, std::uint64_t tag) = 0;
  // The timer is not needed any more, and does no harm if it fires.
  virtual void drop_timer(std::uint64_t) {}
  // Polls the host list.
  virtual void subscribe() = 0;
  // Closes the idle connections to a host.
  virtual void close_idle(std::string_view host) = 0;
};

// The decisions of one balancer. Events go in, actions come out through the sink; nothing here
// does I/O, reads a clock, starts a thread or shares state with another instance. `now` never goes
// back from one call to the next. Each decision has a module of its own in this folder; this class
// calls them in the order of a request's life.
class Policy {
 public:
  // `placement`, which outlives the policy, offers the hosts of a key; without one a hash ring
  // does.
  Policy(const Settings& settings, std::uint64_t seed, Time now, ActionSink& sink,
         Placement* placement = nullptr);

  // The host list was answered, or its poll rejected.
  void on_hosts(Time now, ListKind kind, const std::vector<HostEntry>& entries);
  void on_request(Time now, const Request& request);
  // An attempt has ended. Outcomes of unknown requests and attempts are ignored.
  void on_outcome(Time now, const Outcome& outcome);
  // The request's answer has begun. `attempt`: whose byte it is, where that is known; the rest of
  // that attempt's time is the reader's and tells nothing of its host.
  void on_first_byte(Time now, RequestId id, std::optional<int> attempt = std::nullopt);
  // The client has gone.
  void on_withdrawn(Time now, RequestId id);
  void on_timer(Time now, std::uint64_t tag);

  using OperatorOverride = HostRegistry::OperatorOverride;
  // An operator takes a cache host out of service, or puts it back. It gets nothing new while it is
  // out, whatever lists say. False if neither lists nor operators know the host.
  bool on_maintenance(Time now, std::string_view host, bool out);
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return host_registry_.overrides();
  }
  // An override that was given to the process whose place this one takes, on whatever host.
  void restore(Time now, std::string_view host, OperatorOverride operator_override);

  // What a process that takes this one's place would have to learn anew.
  struct PolicyCheckpoint {
    double work_rate;  // work sent to cache hosts, in seconds per second
    double origin;     // admit fraction of fetches, 0 to 1
    double caches;     // admit fraction of reads, 0 to 1
    std::vector<std::pair<std::string, double>> load_factors;  // by host, those below 1
  };
  PolicyCheckpoint checkpoint(Time now) const;
  void restore(Time now, const PolicyCheckpoint& from);

  // Indices of the registry, free ones included.
  std::size_t host_places() const { return host_registry_.size(); }
  // The host as it is known now; null if it is not listed.
  const HostRegistry::Host* host(std::string_view id) const;

 private:
  using HostIndex = Placement::Host;
  using Host = HostRegistry::Host;

  enum class TimerKind { kDeadline, kSlow, kResend, kSubscribe };
  struct Timer {
    TimerKind kind;
    RequestId id;
  };

  // ---- hosts
  void apply(const std::vector<HostRegistry::HostChange>& changes);
  void apply(const HostRegistry::HostChange& change);

  // ---- the only places where attempts and final answers leave
  bool send(RequestState& request, HostIndex host, Time until);
  void reject_or_fail(RequestState& request);
  void reject_or_fail_if_idle(RequestState& request);

  // ---- where a request goes
  void route(RequestState& request, int tenant);
  void route_read(RequestState& request);
  void send_write(RequestState& request);
  void send_to_cache(RequestState& request, std::optional<HostIndex> stored_at = std::nullopt);
  void fetch_after_miss(RequestState& request);
  void fetch_past_caches(RequestState& request);
  bool send_admitted_fetch(RequestState& request);

  // ---- after an attempt
  bool continue_request(RequestState& request, const AttemptRecord& attempt, NextStep step);
  void continue_write(RequestState& request, const AttemptRecord& attempt);
  bool refetch(RequestState& request, NextStep step);
  void complete_fetch(const RequestState& leader, bool stored);
  void on_slow_attempt(RequestState& request);
  void erase_if_done(RequestId id);

  void close_idle_if_scarce(HostIndex host);
  Duration slow_threshold(const RequestState& request) const;

  std::uint64_t add_timer(Time at, TimerKind kind, RequestId id = 0);  // returns its tag

  const Settings settings_;
  ActionSink& sink_;
  UniformRandom random_;
  Time now_;
  AdmissionController origin_admission_;  // fetches, by the time they take
  AdmissionController cache_admission_;   // reads, by the share of slow answers
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
  FetchCoalescer fetches_;
  PollBackoff poll_backoff_;
  std::unordered_map<RequestId, RequestState> requests_;
  NumberedQueue<Timer> timers_;  // by tag
  double mean_work_;             // seconds, for requests without a hint
};

}  // namespace balancer

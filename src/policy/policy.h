#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hosts/host_registry.h"
#include "policy/admission_controller.h"
#include "policy/hash_ring.h"
#include "policy/host_health.h"
#include "policy/outcome_table.h"
#include "policy/request.h"
#include "policy/request_state.h"
#include "structures/decaying_sum.h"
#include "structures/numbered_queue.h"
#include "structures/recent_counts.h"
#include "structures/token_bucket.h"

// The decisions of one balancer. Events go in, actions come out through the sink; nothing here
// does I/O, reads a clock, starts a thread or shares state with another instance.
namespace balancer {

struct Settings {
  int balancers = 1;
  std::vector<RequestClass> classes;
  std::vector<double> tenant_quotas;  // requests a second that count in full, over all balancers
  bool cache_aside = false;           // a miss comes back and the balancer fetches from the origin
  bool discovery_is_polled = false;   // the host list speaks only when asked
  Duration max_poll_interval{0};
  bool static_weights = false;  // weights tell size, not load
  bool hedging = false;
  int max_attempts = 1;
  Duration max_retry_after{0};  // 0: clients hear no advice
  ColdRule cold;
};

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(RequestId id, std::string_view host, Time until) = 0;
  virtual void reject(RequestId id, Duration retry_after) = 0;
  virtual void fail(RequestId id) = 0;
  virtual void set_timer(Time at, std::uint64_t tag) = 0;
  virtual void drop_timer(std::uint64_t) {}  // need not come any more, and does no harm if it does
  virtual void subscribe() = 0;
  virtual void close_idle(std::string_view host) = 0;  // connections to it
};

class Policy {
 public:
  // `placement`, which outlives it, offers the hosts of a key; without one a hash ring does.
  Policy(const Settings& settings, std::uint64_t seed, Time now, ActionSink& sink,
         Placement* placement = nullptr);

  void on_hosts(Time now, ListKind kind, const std::vector<HostEntry>& entries);
  void on_request(Time now, const Request& request);
  void on_outcome(Time now, const Outcome& outcome);
  // `attempt`: whose byte it is, where that is known. What it takes from here on is the pace of
  // whoever reads, and tells nothing of its host.
  void on_first_byte(Time now, RequestId id, std::optional<int> attempt = std::nullopt);
  void on_withdrawn(Time now, RequestId id);
  void on_timer(Time now, std::uint64_t tag);

  // An operator's word on a cache host: it takes nothing new until it is called back, whatever
  // lists say meanwhile. False if neither lists nor operators know the host.
  bool on_maintenance(Time now, std::string_view host, bool out);
  using OperatorOverride = HostRegistry::OperatorOverride;
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return host_registry_.overrides();
  }
  // A word given to the process whose place this one takes, on whatever host.
  void restore(Time now, std::string_view host, OperatorOverride word);

  // What a process in this one's place would have to learn anew.
  struct PolicyCheckpoint {
    double work_rate, origin, caches;  // seconds of work a second; how far the gates are open
    std::vector<std::pair<std::string, double>> shares;  // that hosts keep of their keys
  };
  PolicyCheckpoint checkpoint(Time now) const;
  void restore(Time now, const PolicyCheckpoint& from);

  std::size_t host_places() const { return host_registry_.size(); }
  const HostRegistry::Host* host(
      std::string_view id) const {  // as it is known now; null: not listed
    const auto at = host_registry_.find(id);
    return at ? &host_registry_[*at] : nullptr;
  }

 private:
  using HostIndex = Placement::Host;

  using Host = HostRegistry::Host;

  enum class TimerKind { kDeadline, kSlow, kResend, kSubscribe };
  struct Timer {
    TimerKind kind;
    RequestId id;
  };

  // The choke point: every attempt and every final answer passes these two.
  bool send(RequestState& r, HostIndex host, Time until);
  void finish(RequestState& r);

  bool retry_allowed(const RequestState& r, const Host& host) const;
  bool rejection_allowed(const RequestState& r) const;
  Duration retry_after(const RequestState& r);

  // `stored_at`: where a fetch of the key has just been stored, if one has.
  void ask_cache(RequestState& r, std::optional<HostIndex> stored_at = std::nullopt);
  std::size_t replicas(std::uint64_t key);
  bool within_share(int tenant);
  void record_latency(HostIndex host, bool slow);
  void apply_to_zone(const Host& host, ZoneSignal signal);
  void apply_to_origin(const AttemptRecord& attempt, OriginSignal signal);
  void apply_to_host(const AttemptRecord& attempt, HostSignal signal);
  void observe_outcome(const AttemptRecord& attempt, const OutcomeRule& rule, Result result);
  void after_write_attempt(RequestState& r, const AttemptRecord& attempt);
  bool refetch(RequestState& r, NextStep step);
  bool continue_request(RequestState& r, const AttemptRecord& attempt, NextStep step);
  void on_slow(RequestState& r);
  Duration patience(const RequestState& r) const;
  void fetch(RequestState& r);
  void bypass(RequestState& r);
  bool send_metered(RequestState& r);  // to the origin, through its gate
  void send_write(RequestState& r);
  void give_up(RequestState& r);
  void settle_fetch(const RequestState& leader, bool stored);
  void erase_if_done(RequestId id);
  bool may_take(const RequestState& r, HostIndex host);
  void heed(const std::vector<HostRegistry::HostChange>& news);

  std::uint64_t timer(Time at, TimerKind kind, RequestId id = 0);  // its tag
  double uniform();                                                // in [0, 1)
  const RequestClass& class_of(const RequestState& r) const {
    return settings_.classes[r.request_class];
  }

  const Settings settings_;
  ActionSink& sink_;
  std::mt19937_64 random_;
  Time now_;
  AdmissionController gate_;
  AdmissionController cache_gate_;  // the same controller over the share of slow cache answers
  HashRing ring_;
  Placement& placement_;
  HostRegistry host_registry_;
  std::vector<HostHealth> health_;  // by the roster's indices
  std::unordered_map<RequestId, RequestState> requests_;
  struct Fetch {
    RequestId leader;
    std::vector<RequestId> followers;
  };
  std::unordered_map<std::uint64_t, Fetch> fetches_;  // by key
  NumberedQueue<Timer> timers_;                       // by tag
  RecentCounts demand_;                               // how often each key was asked for
  int rejected_calls_ = 0;                            // list calls refused in a row
  DecayingSum cache_work_;                            // seconds of work sent to caches lately
  double retry_budget_;
  double strain_ = 0;       // share of slow answers lately
  double unconnected_ = 0;  // share of attempts that got no connection lately
  std::vector<TokenBucket> quotas_;
  DecayingSum arrivals_;  // of tenants' requests
  std::vector<DecayingSum> arrivals_by_tenant_;
  const double quota_sum_;
  struct Zone {
    int failures = 0;  // in a row, of attempts at caches there
    HostHealth health;
  };
  std::map<int, Zone> zones_;
  double mean_work_ = 0.05;  // of requests, for those without a hint
};

}  // namespace balancer

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/timing_wheel.h"
#include "net/attempt.h"
#include "net/clock.h"
#include "net/limits.h"
#include "net/request.h"
#include "net/upstream_pool.h"
#include "policy/policy.h"
#include "recovery/host_age_estimator.h"
#include "recovery/stall_guard.h"
#include "settings/settings.h"

namespace balancer {

// What a pool whose servers send requests on to each other keeps beside its policy. Called from the
// event loop only.
class RoutingExtension {
 public:
  virtual ~RoutingExtension() = default;
  virtual Placement& placement() = 0;
  virtual void on_request(RequestId id, const RequestPayload& payload) = 0;
  virtual void on_forgotten(RequestId id) = 0;
  virtual void prepare(Attempt& attempt) = 0;  // before it goes out
  // What a result means; `value` is what came with it.
  virtual Result judge(const Attempt& attempt, Result result, const std::string& value) = 0;
};

// A pool of servers with a policy of its own, and the requests that are in work there. Carries out
// the module's decisions: turns its actions into attempts, answers and timers, and what becomes of
// them into its events. The one place that ends a request. Knows no dialect.
//
// The module keeps references across its calls to the sink. So nothing that is called from a sink
// function may call the module: whatever ends there is posted to the event loop.
class ServerPool : public RequestSink, private ActionSink, private AttemptEvents {
 public:
  // `dial` makes the connections, `subscribe` asks for the host list. `limits` outlives the event
  // loop, whose last handlers hold leases; so does `site`.
  ServerPool(boost::asio::io_context& io, const Clock& clock, const SiteSettings& site,
             std::uint64_t seed, Limits& limits, Dial dial, std::function<void()> subscribe,
             RoutingExtension* routing_extension = nullptr);

  void on_list(const HostList& list);
  void on_list_refused();
  // Of a host's last start; nothing where it is not listed, or started long ago.
  std::optional<Duration> age_of(std::string_view id) const;
  // From now on what would go to hosts other than the origin waits after a standstill, until a list
  // has come that was asked for since; see recovery::Standing. `confirm` asks for one, from the
  // event loop and not before it returns; `log` gets a line at the end of each standstill.
  void enable_stall_guard(std::function<void()> confirm,
                          std::function<void(const std::string&)> log);
  // Discovery has answered a call that took so long, and what it told has been taken.
  void on_confirmed(Duration took);
  // An operator's words on hosts; see Policy.
  bool maintain(std::string_view host, bool out);
  const std::map<std::string, Policy::OperatorOverride, std::less<>>& overrides() const {
    return policy_.overrides();
  }
  Policy::PolicyCheckpoint checkpoint() const { return policy_.checkpoint(clock_.now()); }
  void restore(const Policy::PolicyCheckpoint& from) { policy_.restore(now(), from); }
  void restore(std::string_view host, Policy::OperatorOverride word);

  // RequestSink
  void submit(const std::shared_ptr<ResponseSink>& caller, ResponseSlot ticket,
              RequestSpec ask) override;
  void withdraw(ResponseSink& caller) override;

  void shed() { upstreams_.shed(); }
  std::size_t open() const { return open_; }
  // What is taken from now on is answered by `end`.
  void drain(Time end) { drain_end_ = end; }
  // Fails what is still open; a failure promises nothing.
  void fail_open();
  // The longest deadline of its classes, up to `most`; `most` if none is stated.
  Duration longest_deadline(Duration most) const;
  std::size_t shared_depth(std::string_view host) const { return upstreams_.shared_depth(host); }

 private:
  struct Call {
    std::shared_ptr<ResponseSink> caller;
    ResponseSlot ticket;
    std::size_t place = 0;  // in the caller's list
    RequestPayloadPtr payload;
    bool unsafe = false;
    int request_class = 0;
    bool over = false;  // had its final answer, or the client has gone
    int attempts = 0;
    int out = 0;  // of them
    // Of one whose repeats are discarded for a while: since when one of its attempts may have run.
    std::optional<Time> may_run_since;
    bool may_have_run = false;  // one that has ended
    mutable Time seen_at{0};    // its client was last known to be there
  };

  // ActionSink
  void send(RequestId id, std::string_view host, Time until) override;
  void reject(RequestId id, Duration retry_after) override;
  void fail(RequestId id) override;
  void set_timer(Time at, std::uint64_t tag) override;
  void drop_timer(std::uint64_t tag) override;
  void subscribe() override { subscribe_(); }
  void close_idle(std::string_view host) override;

  // AttemptEvents
  Time now() const override { return clock_.now(); }
  void learn_unix_time(const HostList& list);
  std::optional<HostStart> start_of(const ListedHost& host) const;
  SendPermission may_send(const Attempt& attempt) const override;
  void on_begin(const AttemptPtr& attempt, const StreamPtr& stream) override;
  void on_end(const AttemptPtr& attempt, Result result, std::string value) override;

  bool is_connected(const Call& call) const;
  void look();
  void watch();
  void let_go(const char* why);
  void arm_timer();
  void on_timer();
  void work_off();
  void forget_timer(std::uint64_t tag);
  void finish(RequestId id, Response final);
  void end_call(RequestId id, Call& call);
  void forget_finished();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const SiteSettings& site_;
  const std::function<void()> subscribe_;
  RoutingExtension* const routing_extension_;
  // What comes due: an attempt's time-out, or a timer of the module.
  struct Due {
    AttemptPtr attempt;
    std::uint64_t tag = 0;
  };
  recovery::HostAgeEstimator host_ages_;
  TimingWheel<Due> due_;
  std::deque<Due> due_now_;  // not worked off yet
  bool working_off_ = false;
  // Of the module's timers, whose tags follow one another: from this tag on.
  std::deque<std::optional<TimingWheel<Due>::Handle>> module_timers_;
  std::uint64_t first_tag_ = 0;
  boost::asio::steady_timer timer_;
  Time timer_at_ = Time::max();
  Policy policy_;  // sets timers from its first moment on
  Upstreams upstreams_;
  std::unordered_map<RequestId, Call> calls_;
  std::size_t open_ = 0;  // of them those not over
  std::vector<RequestId> finished_;
  RequestId next_id_ = 1;
  std::optional<Time> drain_end_;
  std::optional<recovery::StallGuard> stall_guard_;  // none: nothing is held back
  std::function<void()> confirm_;
  std::function<void(const std::string&)> log_;
  boost::asio::steady_timer look_timer_, hold_timer_;
  std::vector<AttemptPtr> held_;  // bounded by the requests that are open
  std::string origin_;
};

}  // namespace balancer

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/attempt_timers.h"
#include "dispatch/deferred_outcomes.h"
#include "dispatch/host_start_times.h"
#include "dispatch/pending_request.h"
#include "dispatch/routing_extension.h"
#include "dispatch/stall_hold.h"
#include "net/attempt.h"
#include "net/clock.h"
#include "net/limits.h"
#include "net/request.h"
#include "net/upstreams.h"
#include "policy/policy.h"
#include "settings/settings.h"

namespace balancer {

// A pool of servers with its own policy, and the requests in flight there. Executes the policy's
// decisions: turns its actions into attempts, responses and timers, and reports their outcomes to
// it as events. Independent of the clients' protocol.
//
// The policy keeps references across its calls to the action sink. Therefore nothing that is called
// from an ActionSink function may call the policy; outcomes that arise there are posted to the
// event loop.
class ServerPool : public RequestSink, private ActionSink, private AttemptEvents {
 public:
  // `dial` creates the connections, `subscribe` requests the endpoint list. `limits` and `site`
  // must outlive the event loop, as handlers use them until it is destroyed.
  ServerPool(boost::asio::io_context& io, const Clock& clock, const SiteSettings& site,
             std::uint64_t seed, Limits& limits, ConnectionFactory dial,
             std::function<void()> subscribe, RoutingExtension* routing_extension = nullptr);

  // ---- hosts

  // Applies a complete endpoint list or the changes to one.
  void on_list(const HostList& list);
  // A poll of discovery was rejected or failed.
  void on_list_rejected();
  // Discovery has answered a call that took `call_duration`, and the answer has been applied.
  void on_discovery_answer(Duration call_duration);
  // From now on, holds attempts to hosts other than the origin after a stall of the process until
  // an endpoint list has arrived that was requested after the stall. See StallHold::enable() for
  // the callbacks.
  void enable_stall_guard(std::function<void()> poll_discovery,
                          std::function<void(const std::string&)> log);
  // Returns the time since the host's last start, or nothing if it is not listed or started long
  // ago.
  std::optional<Duration> host_age(std::string_view id) const;
  // Returns how many attempts of different clients one connection to the host carries at once, or 0
  // if it is not listed.
  std::size_t shared_depth(std::string_view host) const { return upstreams_.shared_depth(host); }

  // ---- operators' overrides and the state that is passed to a successor; see Policy

  // Takes the host out of service or returns it to service, on behalf of an operator. Returns false
  // if the host is not known.
  bool set_out_of_service(std::string_view host, bool out_of_service);
  const std::map<std::string, Policy::OperatorOverride, std::less<>>& overrides() const {
    return policy_.overrides();
  }
  void restore(std::string_view host, Policy::OperatorOverride host_override);
  Policy::PolicyCheckpoint checkpoint() const { return policy_.checkpoint(clock_.now()); }
  void restore(const Policy::PolicyCheckpoint& from) { policy_.restore(now(), from); }

  // ---- requests

  // RequestSink
  void submit(const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
              RequestSpec spec) override;
  void withdraw(ResponseSink& sink) override;

  // Returns the number of requests that have not been answered.
  std::size_t open_requests() const { return open_requests_; }
  // Limits the deadlines of requests that are submitted from now on to `end`.
  void drain(Time end) { drain_end_ = end; }
  // Fails all requests that have not been answered.
  void fail_open_requests();
  // Closes idle connections while more descriptors are in use than the limit allows.
  void close_excess_connections() { upstreams_.close_excess(); }
  // Returns the longest deadline of the pool's request classes, at most `max`; `max` if none has a
  // deadline.
  Duration longest_deadline(Duration max) const;

 private:
  // ActionSink
  void send(RequestId id, std::string_view host, Time until) override;
  void reject(RequestId id, Duration retry_after) override;
  void fail(RequestId id) override;
  void set_timer(Time at, std::uint64_t tag) override;
  void cancel_timer(std::uint64_t tag) override;
  void poll_endpoint_list() override { subscribe_(); }
  void close_idle(std::string_view host) override;

  // AttemptEvents
  Time now() const override { return clock_.now(); }
  SendPermission may_send(const Attempt& attempt) const override;
  void on_write_begun(const Attempt& attempt) override;
  bool is_answer_wanted(const Attempt& attempt) const override;
  void on_answer_stalled(const AttemptPtr& attempt) override;
  void on_stream_started(const AttemptPtr& attempt, const StreamPtr& stream) override;
  void on_attempt_ended(const AttemptPtr& attempt, Result result, std::string value) override;

  std::optional<Event> refusal_of(const ResponseSink& sink, const RequestSpec& spec) const;
  Duration unread_age(const ResponseSink& sink) const;
  bool exceeds_share(const ResponseSink& sink) const;
  void register_request(RequestId id, const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
                        RequestSpec spec);
  AttemptPtr make_attempt(RequestId id, PendingRequest& request, std::string_view host,
                          Time deadline);
  static Result correct_unsent(const AttemptPtr& attempt, Result result);
  void on_hold_released(const std::vector<AttemptPtr>& held);
  bool is_connected(const PendingRequest& request) const;
  static bool is_overtaken(const PendingRequest& request);
  void handle_outcome(const AttemptPtr& attempt, Result result, std::string value);
  void answer(RequestId id, Response response);
  void mark_finished(RequestId id, PendingRequest& request);
  void erase_finished();

  const Clock& clock_;
  const SiteSettings& site_;
  Limits& limits_;
  const std::function<void()> subscribe_;
  RoutingExtension* const routing_extension_;
  HostStartTimes host_start_times_;
  AttemptTimers timers_;
  Policy policy_;  // sets timers in its constructor, so it is declared after timers_
  Upstreams upstreams_;
  StallHold stall_hold_;
  DeferredOutcomes deferred_outcomes_;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::size_t open_requests_ = 0;    // requests that are not finished
  std::size_t active_clients_ = 0;   // clients with such requests
  std::vector<RequestId> finished_;  // to be erased once none of their attempts is in flight
  RequestId next_id_ = 1;
  std::optional<Time> drain_end_;
  std::string origin_id_;
};

}  // namespace balancer

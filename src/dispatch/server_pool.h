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

// A pool of servers with a policy of its own, and the requests in flight there. Carries out the
// policy's decisions: turns its actions into attempts, answers and timers, and their outcomes into
// its events. Knows no dialect.
//
// The policy keeps references across its calls to the action sink. So nothing that is called from
// an ActionSink function may call the policy: what ends there is posted to the event loop.
class ServerPool : public RequestSink, private ActionSink, private AttemptEvents {
 public:
  // `dial` makes the connections, `subscribe` asks for the endpoint list. `limits` and `site`
  // outlive the event loop, whose last handlers still use them.
  ServerPool(boost::asio::io_context& io, const Clock& clock, const SiteSettings& site,
             std::uint64_t seed, Limits& limits, Dial dial, std::function<void()> subscribe,
             RoutingExtension* routing_extension = nullptr);

  // ---- hosts

  void on_list(const HostList& list);
  // The call to polled discovery was rejected or broke.
  void on_list_rejected();
  // Discovery has answered a call that took so long, and its answer has been applied.
  void on_discovery_answer(Duration took);
  // From now on attempts to hosts other than the origin are held after a stall of the process,
  // until a list has come that was asked for since; see StallHold for the functions.
  void enable_stall_guard(std::function<void()> poll_discovery,
                          std::function<void(const std::string&)> log);
  // Time since the host's last start; none where it is not listed, or started long ago.
  std::optional<Duration> host_age(std::string_view id) const;
  // How many attempts of clients one connection to the host carries at once; 0 if it is not listed.
  std::size_t shared_depth(std::string_view host) const { return upstreams_.shared_depth(host); }

  // ---- operators' overrides and the state that passes to a successor; see Policy

  // False if the host is not known.
  bool maintain(std::string_view host, bool out_of_service);
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

  // Requests without an answer.
  std::size_t open_requests() const { return open_requests_; }
  // Requests that are taken from now on get their answer by `end`.
  void drain(Time end) { drain_end_ = end; }
  // Fails all requests without an answer.
  void fail_open_requests();
  // Closes idle connections while more descriptors are in use than the limit allows.
  void close_excess_connections() { upstreams_.close_excess(); }
  // The longest deadline of its request classes, up to `max`; `max` if none is stated.
  Duration longest_deadline(Duration max) const;

 private:
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
  SendPermission may_send(const Attempt& attempt) const override;
  void on_stream_started(const AttemptPtr& attempt, const StreamPtr& stream) override;
  void on_attempt_ended(const AttemptPtr& attempt, Result result, std::string value) override;

  bool may_take(const ResponseSink& sink, const RequestSpec& spec) const;
  void register_request(RequestId id, const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
                        RequestSpec spec);
  AttemptPtr make_attempt(RequestId id, PendingRequest& request, std::string_view host,
                          Time deadline);
  static Result correct_unsent(const AttemptPtr& attempt, Result result);
  void on_released(const std::vector<AttemptPtr>& held);
  bool is_connected(const PendingRequest& request) const;
  void answer(RequestId id, Response response);
  void mark_finished(RequestId id, PendingRequest& request);
  void erase_finished();

  const Clock& clock_;
  const SiteSettings& site_;
  const std::function<void()> subscribe_;
  RoutingExtension* const routing_extension_;
  HostStartTimes host_start_times_;
  AttemptTimers timers_;
  Policy policy_;  // sets timers from its construction on
  Upstreams upstreams_;
  StallHold stall_hold_;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::size_t open_requests_ = 0;    // those that are not finished
  std::vector<RequestId> finished_;  // to be erased where no attempt is in flight
  RequestId next_id_ = 1;
  std::optional<Time> drain_end_;
  std::string origin_;
};

}  // namespace balancer

#include "dispatch/server_pool.h"

#include <algorithm>
#include <utility>

namespace balancer {
namespace {

constexpr Duration kDefaultConnectTimeout = std::chrono::seconds(1);
constexpr Duration kDefaultIdleClose = std::chrono::seconds(15);
// A client with so many requests in flight exceeds no share, however few the others have.
constexpr std::size_t kMaxOrdinaryRequests = 2;
// Idle connections are closed after 1/kIdleCloseDivisor of the time after which hosts close them.
constexpr int kIdleCloseDivisor = 3;
// How long a client is assumed to be connected after a successful check. No attempt begins later
// than this after the client has closed its connection, even if the process is late to read the
// close.
constexpr Duration kConnectedFor = std::chrono::milliseconds(50);

std::size_t memory_of(const RequestPayload& payload) {
  return kRequestBytes + payload.held_bytes();
}

UpstreamSettings upstream_settings(const SiteSettings& site) {
  const Duration idle_close = site.idle_close > Duration{0} ? site.idle_close : kDefaultIdleClose;
  UpstreamSettings settings;
  settings.connect_timeout =
      site.connect_timeout > Duration{0} ? site.connect_timeout : kDefaultConnectTimeout;
  settings.max_connections = site.max_connections;
  settings.selector.max_idle = idle_close / kIdleCloseDivisor;
  settings.selector.max_depth = static_cast<std::size_t>(std::max(1, site.streams_per_connection));
  settings.selector.shared = site.shared_connections && settings.selector.max_depth > 1;
  settings.selector.max_non_idempotent = site.max_non_idempotent_per_connection;
  settings.selector.min_slow_threshold = site.slow_after;
  return settings;
}

}  // namespace

ServerPool::ServerPool(boost::asio::io_context& io, const Clock& clock, const SiteSettings& site,
                       std::uint64_t seed, Limits& limits, ConnectionFactory dial,
                       std::function<void()> subscribe, RoutingExtension* routing_extension)
    : clock_(clock),
      site_(site),
      limits_(limits),
      subscribe_(std::move(subscribe)),
      routing_extension_(routing_extension),
      host_start_times_(clock.wall_offset()),
      timers_(
          io, clock,
          {[this](const AttemptPtr& attempt) { on_attempt_ended(attempt, Result::kTimeout, {}); },
           [this](std::uint64_t tag) { policy_.on_timer(now(), tag); },
           [this] { erase_finished(); }}),
      policy_(site.policy, seed, clock.now(), *this,
              routing_extension ? &routing_extension->placement() : nullptr),
      upstreams_(io, limits, *this, upstream_settings(site), std::move(dial)),
      stall_hold_(io, clock, [this](const auto& held) { on_hold_released(held); }) {}

Duration ServerPool::longest_deadline(Duration max) const {
  Duration longest{0};
  for (const RequestClass& request_class : site_.policy.classes)
    longest = std::max(longest, request_class.deadline);
  return longest > Duration{0} ? std::min(longest, max) : max;
}

// ---- actions of the policy

void ServerPool::send(RequestId id, std::string_view host, Time until) {
  PendingRequest& request = requests_.at(id);
  AttemptPtr attempt = make_attempt(id, request, host, until);
  ++request.attempts_in_flight;
  limits_.events.add(Event::kAttempt);
  if (attempt->number > 0) limits_.events.add(Event::kRepeatedAttempt);
  // If the process has just stalled, the policy's decision is based on an outdated endpoint list.
  stall_hold_.observe();
  attempt->is_held_for_stall = stall_hold_.is_holding() && host != origin_id_;
  timers_.set_timeout(attempt);
  if (attempt->is_held_for_stall) {
    stall_hold_.hold(std::move(attempt));
  } else {
    upstreams_.start(std::move(attempt), host);
  }
}

AttemptPtr ServerPool::make_attempt(RequestId id, PendingRequest& request, std::string_view host,
                                    Time deadline) {
  auto attempt = std::make_shared<Attempt>();
  attempt->request = id;
  attempt->number = request.attempts++;
  attempt->host = host;
  attempt->payload = request.payload;
  attempt->deadline = deadline;
  attempt->non_idempotent = request.non_idempotent;
  if (routing_extension_) routing_extension_->prepare_attempt(*attempt);
  if (const auto* known = policy_.host(host)) attempt->host_started = known->born();
  const RequestClass& request_class =
      site_.policy.classes[static_cast<std::size_t>(request.request_class)];
  if (request_class.idempotency == Idempotency::kIdempotencyKey) {
    if (request.may_run_since) {
      attempt->first_byte_deadline = *request.may_run_since + request_class.deduplication_window;
    } else {
      request.may_run_since = now();
    }
  }
  return attempt;
}

void ServerPool::reject(RequestId id, Duration retry_after) {
  limits_.events.add(Event::kRefusedByPolicy);
  answer(id, {Response::Kind::kRejected, {}, retry_after, nullptr});
}

void ServerPool::fail(RequestId id) {
  limits_.events.add(Event::kFailedByPolicy);
  answer(id, {});
}

void ServerPool::set_timer(Time at, std::uint64_t tag) { timers_.set_policy_timer(at, tag); }

void ServerPool::cancel_timer(std::uint64_t tag) { timers_.cancel_policy_timer(tag); }

void ServerPool::close_idle(std::string_view host) { upstreams_.close_idle(host); }

// ---- requests

void ServerPool::submit(const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
                        RequestSpec spec) {
  stall_hold_.observe();
  if (const auto refusal = refusal_of(*sink, spec)) {
    limits_.events.add(*refusal);
    spec.payload->on_released(false);
    sink->on_response(slot, *spec.payload, {Response::Kind::kRejected, {}, Duration{0}, nullptr});
    return;
  }
  Request request;
  request.id = next_id_++;
  request.request_class = spec.request_class;
  request.tenant = spec.tenant;
  request.key = spec.key;
  request.is_write = spec.write;
  request.work = spec.work;
  request.time_left = spec.time_left - unread_age(*sink);
  if (drain_end_)
    request.time_left = std::max(Duration{0}, std::min(request.time_left, *drain_end_ - now()));
  request.exceeds_client_share = exceeds_share(*sink);
  const RequestPayloadPtr payload = spec.payload;
  register_request(request.id, sink, slot, std::move(spec));
  if (routing_extension_) routing_extension_->on_request(request.id, *payload);
  policy_.on_request(now(), request);
  erase_finished();
}

// Returns why a request is not accepted, or nothing if it is. It is rejected then, which is safe as
// no attempt of it has run. After a stall it may have waited in the socket until the client's
// deadline was over.
std::optional<Event> ServerPool::refusal_of(const ResponseSink& sink,
                                            const RequestSpec& spec) const {
  if (unread_age(sink) >= spec.time_left) return Event::kRefusedNotForwarded;
  if (site_.max_open_requests > 0 &&
      open_requests_ >= static_cast<std::size_t>(site_.max_open_requests))
    return Event::kRefusedAtMaximum;
  if (!limits_.has_memory(MemoryUse::kRequest, memory_of(*spec.payload)))
    return Event::kRefusedForMemory;
  if (!sink.may_forward() || !sink.is_connected()) return Event::kRefusedNotForwarded;
  return std::nullopt;
}

// Returns how long a request that is read now may have waited in its socket.
Duration ServerPool::unread_age(const ResponseSink& sink) const {
  return std::max(stall_hold_.max_unread_age(), sink.unread_age());
}

// Returns whether the client, with one further request, has over one and a half times as many
// requests in flight as the clients with any have on average.
bool ServerPool::exceeds_share(const ResponseSink& sink) const {
  const std::size_t own = sink.open_requests_.size() + 1;
  const std::size_t clients = active_clients_ + (own == 1 ? 1 : 0);
  return own > kMaxOrdinaryRequests && 2 * own * clients > 3 * (open_requests_ + 1);
}

void ServerPool::register_request(RequestId id, const std::shared_ptr<ResponseSink>& sink,
                                  ResponseSlot slot, RequestSpec spec) {
  PendingRequest& request = requests_[id];
  request.memory = Reservation(limits_.bytes, memory_of(*spec.payload), MemoryHolder::kRequests);
  request.sink = sink;
  request.slot = slot;
  request.payload = std::move(spec.payload);
  request.request_class = spec.request_class;
  request.is_write = spec.write;
  request.non_idempotent =
      site_.policy.classes[static_cast<std::size_t>(spec.request_class)].idempotency ==
      Idempotency::kNone;
  request.connected_at = now();
  if (sink->open_requests_.empty()) ++active_clients_;
  request.sink_index = sink->open_requests_.size();
  sink->open_requests_.push_back(id);
  ++open_requests_;
}

void ServerPool::withdraw(ResponseSink& sink) {
  for (const RequestId id : std::vector(sink.open_requests_)) {
    mark_finished(id, requests_.at(id));
    policy_.on_request_cancelled(now(), id);
  }
  erase_finished();
}

void ServerPool::fail_open_requests() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_)
    if (!request.finished) open.push_back(id);
  for (const RequestId id : open) {
    fail(id);
    policy_.on_request_cancelled(now(), id);
  }
  erase_finished();
}

void ServerPool::answer(RequestId id, Response response) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.finished) return;
  const auto sink = it->second.sink;
  const auto payload = it->second.payload;
  const ResponseSlot slot = it->second.slot;
  mark_finished(id, it->second);
  sink->on_response(slot, *payload, std::move(response));
}

void ServerPool::mark_finished(RequestId id, PendingRequest& request) {
  request.finished = true;
  --open_requests_;
  // Removes the request from its sink's list by moving the last entry to its position.
  auto& open = request.sink->open_requests_;
  requests_.at(open.back()).sink_index = request.sink_index;
  open[request.sink_index] = open.back();
  open.pop_back();
  if (open.empty()) --active_clients_;
  request.sink = nullptr;
  finished_.push_back(id);
}

// Requests are erased only here, after the policy has returned, as its actions refer to them until
// then.
void ServerPool::erase_finished() {
  for (const RequestId id : std::exchange(finished_, {})) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.attempts_in_flight > 0) continue;
    it->second.payload->on_released(it->second.may_have_run);
    if (routing_extension_) routing_extension_->on_request_erased(id);
    requests_.erase(it);
  }
}

// ---- attempts

bool ServerPool::is_connected(const PendingRequest& request) const {
  if (now() - request.connected_at <= kConnectedFor) return true;
  if (!request.sink->is_connected()) return false;
  request.connected_at = now();
  return true;
}

// Returns whether the answer to the request could show the effect of a later write of its client.
bool ServerPool::is_overtaken(const PendingRequest& request) {
  const RequestPayload& payload = *request.payload;
  return !request.is_write && payload.order && payload.order->is_overtaken(payload.order_position);
}

void ServerPool::on_write_begun(const Attempt& attempt) {
  const RequestPayload& payload = *attempt.payload;
  if (payload.order && requests_.at(attempt.request).is_write)
    payload.order->on_write_begun(payload.order_position);
}

// Checks the deadline too, as it may have passed before the time-out fires after a stall. Looks the
// host up in the policy, which is the first component to receive changes of the endpoint list.
SendPermission ServerPool::may_send(const Attempt& attempt) const {
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return SendPermission::kRequestFinished;
  const PendingRequest& request = it->second;
  if (request.finished || attempt.deadline - now() < kMinAttemptTime ||
      now() >= attempt.first_byte_deadline || !request.sink->may_forward() ||
      !is_connected(request))
    return SendPermission::kRequestFinished;
  if (!attempt.write_begun && is_overtaken(request)) return SendPermission::kRequestFinished;
  const auto* host = policy_.host(attempt.host);
  const bool is_same_process = host && host->born() == attempt.host_started;
  return is_same_process && host->accepts_attempts() ? SendPermission::kGranted
                                                     : SendPermission::kHostChanged;
}

// Attempts that were held are based on an old endpoint list. The policy decides on them again,
// which counts neither as a failure of the host nor as a retry.
void ServerPool::on_hold_released(const std::vector<AttemptPtr>& held) {
  for (const AttemptPtr& attempt : held)
    on_attempt_ended(attempt, unsent_result(may_send(*attempt)), {});
}

// The first byte of a long value answers the request: from here on no other attempt may answer it,
// and the deadlines of the attempt and of the request no longer apply.
void ServerPool::on_stream_started(const AttemptPtr& attempt, const StreamPtr& stream) {
  const auto it = requests_.find(attempt->request);
  if (attempt->ended || it == requests_.end() || it->second.finished) return stream->abandon();
  timers_.cancel_timeout(*attempt);
  answer(attempt->request, {Response::Kind::kServed, {}, Duration{0}, stream});
  policy_.on_first_byte(now(), attempt->request, attempt->number);
  erase_finished();
}

// Returns kNotSent for an attempt that timed out or was cancelled before it had a connection or
// before it was written completely, as it has not run; otherwise returns `result`.
Result ServerPool::correct_unsent(const AttemptPtr& attempt, Result result) {
  if (result != Result::kTimeout && result != Result::kCancelled) return result;
  const auto connection = attempt->connection.lock();
  const bool is_unsent = connection ? connection->abandon(attempt) : !attempt->assigned;
  return is_unsent ? Result::kNotSent : result;
}

bool ServerPool::is_answer_wanted(const Attempt& attempt) const {
  const auto it = requests_.find(attempt.request);
  return it != requests_.end() && !it->second.finished;
}

void ServerPool::on_answer_stalled(const AttemptPtr& attempt) {
  policy_.on_answer_stalled(now(), attempt->request, attempt->number);
  erase_finished();
}

void ServerPool::on_attempt_ended(const AttemptPtr& attempt, Result result, std::string value) {
  if (std::exchange(attempt->ended, true)) return;
  timers_.cancel_timeout(*attempt);
  result = correct_unsent(attempt, result);
  if (routing_extension_) result = routing_extension_->interpret_result(*attempt, result, value);
  const RequestPayload& payload = *attempt->payload;
  if (!payload.order) return handle_outcome(attempt, result, std::move(value));
  const PendingRequest& request = requests_.at(attempt->request);
  const bool is_write = request.is_write;
  if (is_write && attempt->write_begun)
    payload.order->on_write_ended(payload.order_position, !never_ran(result));
  const bool may_be_sent_again = result != Result::kOk && !request.finished;
  if (may_be_sent_again && deferred_outcomes_.must_wait(*attempt, is_write)) {
    deferred_outcomes_.add({attempt, result, is_write});
  } else {
    handle_outcome(attempt, result, std::move(value));
  }
  if (!is_write) return;
  for (const DeferredOutcome& ready : deferred_outcomes_.take_ready(*payload.order))
    handle_outcome(ready.attempt, ready.result, {});
}

void ServerPool::handle_outcome(const AttemptPtr& attempt, Result result, std::string value) {
  const RequestId id = attempt->request;
  PendingRequest& request = requests_.at(id);
  --request.attempts_in_flight;
  request.may_have_run = request.may_have_run || !(never_ran(result) || result == Result::kMiss);
  if (request.attempts_in_flight == 0 && !request.may_have_run) request.may_run_since.reset();
  if (result == Result::kOk && !request.finished)
    answer(id, {Response::Kind::kServed, std::move(value), Duration{0}, nullptr});
  if (request.finished) finished_.push_back(id);
  policy_.on_outcome(now(), {id, attempt->number, result, request.finished, is_overtaken(request)});
  erase_finished();
}

// ---- hosts

void ServerPool::on_list(const HostList& list) {
  upstreams_.apply(list);
  host_start_times_.on_list(now(), list);
  std::vector<HostEntry> entries;
  for (const EndpointListEntry& host : list.hosts) {
    if (host.is_origin) origin_id_ = host.id;
    entries.push_back({host.id, host_start_times_.start_of(now(), host), host.is_origin, host.zone,
                       host.cell, host.state, host.weight});
  }
  policy_.on_hosts(now(), list.is_complete ? ListKind::kComplete : ListKind::kChanges, entries);
  upstreams_.withdraw_unsendable();
  erase_finished();
}

void ServerPool::on_list_rejected() {
  policy_.on_hosts(now(), ListKind::kRejected, {});
  erase_finished();
}

void ServerPool::on_discovery_answer(Duration call_duration) {
  stall_hold_.on_discovery_answer(call_duration);
}

void ServerPool::enable_stall_guard(std::function<void()> poll_discovery,
                                    std::function<void(const std::string&)> log) {
  stall_hold_.enable(std::move(poll_discovery), std::move(log));
}

std::optional<Duration> ServerPool::host_age(std::string_view id) const {
  const auto* host = policy_.host(id);
  if (!host || !host->start) return std::nullopt;
  return now() - host->start->at;
}

bool ServerPool::set_out_of_service(std::string_view host, bool out_of_service) {
  const bool is_known = policy_.set_out_of_service(now(), host, out_of_service);
  upstreams_.withdraw_unsendable();
  return is_known;
}

void ServerPool::restore(std::string_view host, Policy::OperatorOverride host_override) {
  policy_.restore(now(), host, host_override);
  upstreams_.withdraw_unsendable();
}

}  // namespace balancer

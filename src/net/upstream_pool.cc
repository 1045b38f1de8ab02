#include "net/upstream_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {

namespace asio = boost::asio;
using connection_pool::AttemptTraits;
using connection_pool::ConnectionId;
using connection_pool::ConnectionSelector;

UpstreamPool::UpstreamPool(asio::io_context& io, Limits& limits, AttemptEvents& events,
                           const UpstreamSettings& settings, const ConnectionFactory& dial,
                           std::size_t& open_connections, FreeDescriptor free_descriptor)
    : io_(io),
      limits_(limits),
      events_(events),
      settings_(settings),
      dial_(dial),
      open_connections_(open_connections),
      free_descriptor_(std::move(free_descriptor)),
      selector_(settings.selector) {}

void UpstreamPool::set_host(const EndpointListEntry& host) {
  // All connections, including those that are connecting or have attempts in flight, lead to the
  // old process or the old address. That address may now belong to another host.
  const bool moved = (host.endpoint && endpoint_ && host.endpoint != endpoint_) ||
                     host.started_at != host_started_;
  if (host.endpoint) endpoint_ = host.endpoint;
  host_started_ = host.started_at;
  is_origin_ = host.is_origin;
  if (moved) retire();
}

void UpstreamPool::set_owns_endpoint(bool owns_endpoint) {
  const bool is_lost = owns_endpoint_ && !owns_endpoint;
  owns_endpoint_ = owns_endpoint;
  if (!is_lost) return;
  retire();
  schedule_start_queued();
}

void UpstreamPool::retire() {
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection) connection->retire();
}

void UpstreamPool::withdraw_unsendable() {
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection) connection->withdraw_unsendable();
  schedule_start_queued();
}

// ---- starting attempts

void UpstreamPool::start(AttemptPtr attempt) {
  if (!owns_endpoint_) return post_ended(attempt, Result::kConnectFailed);
  if (!must_wait_behind(queued_, *attempt) && try_start(attempt) == StartResult::kStarted) return;
  const Time give_up_at = events_.now() + settings_.connect_timeout;
  queued_.push_back({std::move(attempt), give_up_at});
}

// Whether the attempt must wait because an earlier attempt of its order group is still queued.
bool UpstreamPool::must_wait_behind(const std::deque<QueuedAttempt>& queue,
                                    const Attempt& attempt) {
  const AttemptTraits& traits = attempt.payload->traits;
  if (!traits.must_follow_group) return false;
  return std::any_of(queue.begin(), queue.end(), [&traits](const QueuedAttempt& queued) {
    return queued.attempt->payload->traits.order_group == traits.order_group;
  });
}

bool UpstreamPool::can_open() const {
  return endpoint_ && owns_endpoint_ && open_connections_ < settings_.max_connections &&
         limits_.upstreams.room_for(1);
}

AttemptTraits UpstreamPool::traits_of(const Attempt& attempt) const {
  AttemptTraits traits = attempt.payload->traits;
  traits.non_idempotent = attempt.non_idempotent;
  traits.answer_lacks_id = is_origin_;  // origins are accessed over HTTP
  return traits;
}

// Chooses a connection for the attempt. If no connection can be opened and none to this host is
// idle, closes an idle connection to another host to free a descriptor.
ConnectionSelector::Choice UpstreamPool::choose(const AttemptTraits& traits, Time now,
                                                bool may_open) {
  const auto choice = selector_.choose(now, traits, may_open);
  if (may_open || !endpoint_ || !owns_endpoint_) return choice;
  const bool is_idle = choice.kind != ConnectionSelector::Choice::Kind::kWait &&
                       selector_.depth(choice.connection) == 0;
  if (is_idle || !free_descriptor_()) return choice;
  return selector_.choose(now, traits, true);
}

UpstreamPool::StartResult UpstreamPool::try_start(const AttemptPtr& attempt) {
  using Kind = ConnectionSelector::Choice::Kind;
  const AttemptTraits traits = traits_of(*attempt);
  const Time now = events_.now();
  while (true) {
    const bool may_open = can_open();
    const auto choice = choose(traits, now, may_open);
    if (choice.kind == Kind::kWait)
      return may_open ? StartResult::kMustWait : StartResult::kNoConnection;
    if (choice.kind == Kind::kOpen) {
      start_on_new_connection(attempt, now);
      return StartResult::kStarted;
    }
    const auto connection = connections_[choice.connection];
    if (selector_.depth(choice.connection) > 0) {
      if (!connection->can_pipeline()) return StartResult::kNoConnection;
    } else if (!connection->is_alive()) {
      connection->close();
      continue;
    }
    assign(choice.connection, attempt, now);
    return StartResult::kStarted;
  }
}

void UpstreamPool::start_on_new_connection(const AttemptPtr& attempt, Time now) {
  const auto connection = dial_(is_origin_, events_, *this);
  ++open_connections_;
  const ConnectionId id = selector_.on_open(now);
  connection->connection_id = id;
  if (connections_.size() <= id) connections_.resize(id + 1);
  connections_[id] = connection;
  assign(id, attempt, now);
  connection->connect(*endpoint_, settings_.connect_timeout);
}

void UpstreamPool::assign(ConnectionId id, const AttemptPtr& attempt, Time now) {
  const auto connection = connections_[id];
  selector_.on_assigned(id, now, traits_of(*attempt));
  connection->enqueue(attempt);
  if (settings_.selector.shared) {
    schedule_flush(connection);
  } else {
    connection->flush();
  }
}

// Defers the flush so that attempts that start in one turn of the event loop share one write.
void UpstreamPool::schedule_flush(const std::shared_ptr<UpstreamConnection>& connection) {
  if (std::find(unflushed_.begin(), unflushed_.end(), connection) != unflushed_.end()) return;
  unflushed_.push_back(connection);
  if (unflushed_.size() > 1) return;
  asio::post(io_, [this] {
    for (const auto& unflushed : std::exchange(unflushed_, {})) unflushed->flush();
  });
}

// ---- attempts that wait for a connection

void UpstreamPool::schedule_start_queued() {
  if (queued_.empty() || start_posted_) return;
  start_posted_ = true;
  asio::post(io_, [this] {
    start_posted_ = false;
    start_queued();
  });
}

// Returns the outcome of a queued attempt that must not wait any longer, or nullopt.
std::optional<Result> UpstreamPool::outcome_of_queued(const QueuedAttempt& queued) const {
  const SendPermission permission = events_.may_send(*queued.attempt);
  if (permission != SendPermission::kGranted) return unsent_result(permission);
  if (!owns_endpoint_) return Result::kConnectFailed;
  if (events_.now() < queued.give_up_at) return std::nullopt;
  // If a connection is established, the host is not at fault: the attempt only found no free place
  // on a connection in time.
  const bool is_connected = std::any_of(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection && !connection->is_connecting(); });
  return settings_.selector.shared && is_connected ? Result::kNotSent : Result::kConnectFailed;
}

// Starts queued attempts in order of arrival. An attempt that waits for its order group delays only
// the attempts that must follow it.
void UpstreamPool::start_queued() {
  std::deque<QueuedAttempt> waiting;
  bool has_connection = true;
  for (QueuedAttempt& queued : std::exchange(queued_, {})) {
    if (queued.attempt->ended) continue;
    if (const auto outcome = outcome_of_queued(queued)) {
      post_ended(queued.attempt, *outcome);
      continue;
    }
    if (has_connection) {
      const StartResult started = must_wait_behind(waiting, *queued.attempt)
                                      ? StartResult::kMustWait
                                      : try_start(queued.attempt);
      if (started == StartResult::kStarted) continue;
      has_connection = started != StartResult::kNoConnection;
    }
    waiting.push_back(std::move(queued));
  }
  // Attempts that were queued meanwhile are appended.
  for (QueuedAttempt& queued : queued_) waiting.push_back(std::move(queued));
  queued_ = std::move(waiting);
}

void UpstreamPool::post_ended(const AttemptPtr& attempt, Result result) {
  asio::post(
      io_, [&events = events_, attempt, result] { events.on_attempt_ended(attempt, result, {}); });
}

// ---- idle connections

void UpstreamPool::close_idle() {
  for (const auto id : std::vector(selector_.idle())) connections_[id]->close();
}

std::optional<Time> UpstreamPool::oldest_idle() const {
  if (selector_.idle().empty()) return std::nullopt;
  return selector_.idle_since(selector_.idle().front());
}

void UpstreamPool::close_oldest_idle() { connections_[selector_.idle().front()]->close(); }

void UpstreamPool::tick() {
  const Time now = events_.now();
  for (auto since = oldest_idle(); since && now - *since > settings_.selector.max_idle;
       since = oldest_idle())
    close_oldest_idle();
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection) connection->tick();
  start_queued();
}

// ---- events of a connection

void UpstreamPool::on_connected(UpstreamConnection& connection) {
  selector_.on_connected(connection.connection_id, events_.now());
  schedule_start_queued();
}

void UpstreamPool::on_answered(UpstreamConnection& connection, Time now, bool reusable) {
  selector_.on_answered(connection.connection_id, now, reusable);
  schedule_start_queued();
}

void UpstreamPool::on_withdrawn(UpstreamConnection& connection, std::size_t place) {
  selector_.on_withdrawn(connection.connection_id, place, events_.now());
  schedule_start_queued();
}

void UpstreamPool::on_retired(UpstreamConnection& connection) {
  selector_.on_retired(connection.connection_id);
}

void UpstreamPool::on_closed(UpstreamConnection& connection) {
  selector_.on_closed(connection.connection_id);
  connections_[connection.connection_id] = nullptr;
  --open_connections_;
  schedule_start_queued();
}

}  // namespace balancer

#include "connection_pool/connection_selector.h"

#include <algorithm>
#include <cmath>

namespace balancer::connection_pool {
namespace {

using std::chrono::milliseconds;

// A non-idempotent attempt does not use a connection that has been idle for longer: the host may
// have closed it, or may reset it at the first byte.
constexpr Duration kMaxIdleForNonIdempotent = milliseconds(500);
// If a host closes connections directly after an answer, the close has arrived within this time.
constexpr Duration kMinIdleBeforeReuse = milliseconds(20);
// A connection that has carried this many answers is known to stay open after answers.
constexpr std::size_t kMinAnswersForReuse = 2;

// An answer is slow if it takes longer than this multiple of the usual latency.
constexpr int kSlowFactor = 8;
// Number of answers over which the moving averages run.
constexpr double kSlowRatioSamples = 512;
constexpr double kLatencySamples = 64;
constexpr double kKindSamples = 16;
// Keeps shared_depth() finite while no answer has been slow.
constexpr double kMinSlowRatio = 1e-6;

}  // namespace

Duration ConnectionSelector::slow_threshold() const {
  return std::max(settings_.min_slow_threshold, kSlowFactor * usual_latency_);
}

std::size_t ConnectionSelector::shared_depth() const {
  if (!settings_.shared) return 1;
  const double depth =
      1 + std::floor(settings_.max_slow_wait_ratio / std::max(slow_ratio_, kMinSlowRatio));
  return static_cast<std::size_t>(std::min(depth, static_cast<double>(settings_.max_depth)));
}

bool ConnectionSelector::is_overdue(const Connection& connection, Time now) const {
  if (!connection.is_connected || connection.in_flight.empty()) return false;
  const Time front_since =
      std::max(connection.in_flight.front().assigned_at, connection.last_progress);
  return now - front_since > slow_threshold();
}

// ---- selection

// Returns whether the attempt may be queued on this connection behind those in flight, of which at
// most `max_other_clients` may belong to other clients.
bool ConnectionSelector::accepts(const Connection& connection, Time now,
                                 const AttemptTraits& traits, std::size_t max_other_clients) const {
  if (!connection.is_open || !connection.is_reusable) return false;
  if (connection.in_flight.size() >= settings_.max_depth) return false;
  if (traits.non_idempotent && connection.non_idempotent_count >= settings_.max_non_idempotent)
    return false;
  if (is_overdue(connection, now)) return false;
  std::size_t other_clients = connection.in_flight.size();
  if (traits.client_id != 0)
    for (const InFlightAttempt& attempt : connection.in_flight)
      other_clients -= attempt.traits.client_id == traits.client_id;
  if (other_clients == 0) return true;
  return other_clients <= max_other_clients && connection.slow_kind_count == 0 &&
         !is_slow_kind(traits.command_kind);
}

// Selects the connection on which the attempt's order group is in flight, or kWait if the attempt
// cannot be queued there. Returns nothing if none of the group is in flight. Attempts of a group
// are on several connections only if they are reads; then a write waits until only one of these
// connections carries the group.
std::optional<ConnectionSelector::Choice> ConnectionSelector::follow_group(
    Time now, const AttemptTraits& traits) const {
  const auto is_in_group = [&traits](const InFlightAttempt& attempt) {
    return attempt.traits.order_group == traits.order_group;
  };
  std::optional<ConnectionId> carrier;
  for (ConnectionId id = 0; id < connections_.size(); ++id) {
    const Connection& connection = connections_[id];
    if (!connection.is_open) continue;
    if (std::none_of(connection.in_flight.begin(), connection.in_flight.end(), is_in_group))
      continue;
    if (carrier) return Choice{Choice::Kind::kWait};
    carrier = id;
  }
  if (!carrier) return std::nullopt;
  if (!accepts(connections_[*carrier], now, traits, settings_.max_depth))
    return Choice{Choice::Kind::kWait};
  return Choice{Choice::Kind::kUse, *carrier};
}

// Returns a connection whose last queued attempt belongs to the same client. No attempt of another
// client is queued between the two there.
std::optional<ConnectionId> ConnectionSelector::find_same_client(
    Time now, const AttemptTraits& traits) const {
  for (ConnectionId id = 0; id < connections_.size(); ++id) {
    const Connection& connection = connections_[id];
    if (!connection.is_open || connection.in_flight.empty()) continue;
    if (connection.in_flight.back().traits.client_id != traits.client_id) continue;
    if (accepts(connection, now, traits, shared_depth() - 1)) return id;
  }
  return std::nullopt;
}

// Returns the most recently used idle connection that has been idle for kMinIdleBeforeReuse or is
// known to stay open after answers. The minimum gives the host time to close the connection after
// an answer: a request that crosses the close may have run. If there is no such connection, returns
// the most recently used one, except for a non-idempotent attempt, which must not be retried, and
// for an attempt for whose answer a late duplicate of the previous answer could be mistaken.
std::optional<ConnectionId> ConnectionSelector::find_idle(Time now,
                                                          const AttemptTraits& traits) const {
  const Duration max_idle = traits.non_idempotent
                                ? std::min(kMaxIdleForNonIdempotent, settings_.max_idle)
                                : settings_.max_idle;
  for (std::size_t i = idle_.size(); i-- > 0;) {
    const Connection& connection = connections_[idle_[i]];
    const Duration idle_for = now - connection.last_progress;
    if (idle_for > max_idle) break;
    const bool stays_open = settings_.shared && connection.answered >= kMinAnswersForReuse;
    if (stays_open || idle_for >= kMinIdleBeforeReuse) return idle_[i];
  }
  if (traits.non_idempotent || traits.answer_lacks_id || idle_.empty()) return std::nullopt;
  if (now - idle_since(idle_.back()) > max_idle) return std::nullopt;
  return idle_.back();
}

std::optional<ConnectionId> ConnectionSelector::find_least_loaded(
    Time now, const AttemptTraits& traits, std::size_t max_other_clients) const {
  std::optional<ConnectionId> least;
  for (ConnectionId id = 0; id < connections_.size(); ++id) {
    const Connection& connection = connections_[id];
    if (!connection.is_open || connection.in_flight.empty()) continue;
    if (!accepts(connection, now, traits, max_other_clients)) continue;
    if (!least || depth(id) < depth(*least)) least = id;
  }
  return least;
}

ConnectionSelector::Choice ConnectionSelector::choose(Time now, const AttemptTraits& traits,
                                                      bool may_open) const {
  using Kind = Choice::Kind;
  if (traits.must_follow_group)
    if (const auto choice = follow_group(now, traits)) return *choice;
  if (settings_.shared && traits.client_id != 0)
    if (const auto id = find_same_client(now, traits)) return {Kind::kUse, *id};
  if (const auto id = find_idle(now, traits)) return {Kind::kUse, *id};
  if (settings_.shared && (open_ >= settings_.min_connections_before_sharing || !may_open))
    if (const auto id = find_least_loaded(now, traits, shared_depth() - 1))
      return {Kind::kUse, *id};
  if (may_open) return {Kind::kOpen};
  // No connection can be opened: waiting behind another client's attempt is better than no answer.
  if (!is_slow_kind(traits.command_kind))
    if (const auto id = find_least_loaded(now, traits, settings_.max_depth))
      return {Kind::kUse, *id};
  return {Kind::kWait};
}

// ---- events

ConnectionId ConnectionSelector::on_open(Time now) {
  ConnectionId id;
  if (free_ids_.empty()) {
    id = static_cast<ConnectionId>(connections_.size());
    connections_.emplace_back();
  } else {
    id = free_ids_.back();
    free_ids_.pop_back();
  }
  connections_[id] = {};
  connections_[id].is_open = true;
  connections_[id].last_progress = now;
  ++open_;
  return id;
}

void ConnectionSelector::mark_idle(ConnectionId id, Time now) {
  connections_[id].last_progress = now;
  std::erase(idle_, id);
  idle_.push_back(id);
}

void ConnectionSelector::on_connected(ConnectionId id, Time now) {
  Connection& connection = connections_[id];
  connection.is_connected = true;
  connection.last_progress = now;
  if (connection.in_flight.empty()) mark_idle(id, now);
}

void ConnectionSelector::on_assigned(ConnectionId id, Time now, const AttemptTraits& traits) {
  Connection& connection = connections_[id];
  if (connection.in_flight.empty()) std::erase(idle_, id);
  connection.in_flight.push_back({traits, now});
  connection.non_idempotent_count += traits.non_idempotent;
  connection.slow_kind_count += is_slow_kind(traits.command_kind);
}

void ConnectionSelector::remove_in_flight(Connection& connection, std::size_t position) {
  const auto at = connection.in_flight.begin() + static_cast<std::ptrdiff_t>(position);
  connection.non_idempotent_count -= at->traits.non_idempotent;
  connection.in_flight.erase(at);
  // Recounts, as a kind may have become slow, or fast again, while the attempt was in flight.
  connection.slow_kind_count = 0;
  if (slow_kinds_ == 0) return;
  for (const InFlightAttempt& attempt : connection.in_flight)
    connection.slow_kind_count += is_slow_kind(attempt.traits.command_kind);
}

void ConnectionSelector::record_latency(std::uint8_t command_kind, Duration latency) {
  const bool slow = latency > slow_threshold();
  double& kind_ratio = kind_slow_ratios_[command_kind % kKinds];
  const bool was_slow_kind = kind_ratio > kSlowKindRatio;
  kind_ratio += (slow - kind_ratio) / kKindSamples;
  slow_kinds_ += (kind_ratio > kSlowKindRatio) - was_slow_kind;
  if (was_slow_kind) return;
  slow_ratio_ += (slow - slow_ratio_) / kSlowRatioSamples;
  // Bounds the sample so that one slow answer changes the average only a little.
  const Duration sample =
      usual_latency_ == Duration{0} ? latency : std::min(latency, 2 * slow_threshold());
  usual_latency_ += Duration(static_cast<Duration::rep>(
      static_cast<double>((sample - usual_latency_).count()) / kLatencySamples));
}

void ConnectionSelector::on_answered(ConnectionId id, Time now, bool reusable) {
  Connection& connection = connections_[id];
  if (connection.in_flight.empty()) return;
  const InFlightAttempt& front = connection.in_flight.front();
  const Time front_since = std::max(front.assigned_at, connection.last_progress);
  record_latency(front.traits.command_kind, now - front_since);
  ++connection.answered;
  connection.is_reusable = reusable;
  connection.last_progress = now;
  remove_in_flight(connection, 0);
  if (connection.in_flight.empty() && reusable) mark_idle(id, now);
}

void ConnectionSelector::on_withdrawn(ConnectionId id, std::size_t position, Time now) {
  Connection& connection = connections_[id];
  remove_in_flight(connection, position);
  if (connection.in_flight.empty() && connection.is_connected && connection.is_reusable)
    mark_idle(id, now);
}

void ConnectionSelector::on_retired(ConnectionId id) {
  connections_[id].is_reusable = false;
  std::erase(idle_, id);
}

void ConnectionSelector::on_closed(ConnectionId id) {
  std::erase(idle_, id);
  connections_[id] = {};
  free_ids_.push_back(id);
  --open_;
}

}  // namespace balancer::connection_pool

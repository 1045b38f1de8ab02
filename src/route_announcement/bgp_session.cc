#include "route_announcement/bgp_session.h"

#include <algorithm>

namespace balancer::bgp {
namespace {

// KEEPALIVE messages that are sent in one hold time (section 4.4).
constexpr int kKeepalivesPerHoldTime = 3;
constexpr std::uint8_t kBadPeerAs = 2, kUnacceptableHold = 6;
// Upper bound on received bytes that wait for the rest of a message; a message has at most 4096.
constexpr std::size_t kMaxBuffered = 64u << 10;

}  // namespace

const char* name_of(Session::State state) {
  switch (state) {
    case Session::State::kIdle:
      return "idle";
    case Session::State::kConnect:
      return "connecting";
    case Session::State::kOpenSent:
      return "open sent";
    case Session::State::kOpenConfirm:
      return "open confirmed";
    default:
      return "established";
  }
}

Session::Session(const SessionSettings& settings, std::uint64_t seed, Time now)
    : settings_(settings),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      hold_(settings.hold_time),
      next_dial_at_(now) {}

Session::State Session::state() const {
  return std::max(connections_[0].state, connections_[1].state);
}

void Session::send(Direction way, std::string bytes) {
  if (active_direction_ == way)
    unacknowledged_ += bytes.size();  // until the next on_unacknowledged()
  actions_.push_back({Action::Kind::kSend, way, std::move(bytes)});
}

// ---- connections

void Session::on_connected(Time now, Direction way) {
  Connection& c = of(way);
  const bool unwanted = stopped_ || active_direction_ ||
                        (way == Direction::kInbound && c.state != State::kIdle) ||
                        (way == Direction::kOutbound && c.state != State::kConnect);
  if (unwanted) {
    if (way == Direction::kOutbound || c.state == State::kIdle) {
      send(way, encode(Notification{ErrorCode::kCease, kCollision, {}}));
      actions_.push_back({Action::Kind::kClose, way, {}});
      if (way == Direction::kOutbound) c = Connection{};
    }
    return;
  }
  c = Connection{};
  c.state = State::kOpenSent;
  c.receive_deadline = now + settings_.open_timeout;
  Open open;
  open.as = settings_.local_as;
  open.id = settings_.id;
  open.hold_time = static_cast<std::uint16_t>(
      std::chrono::ceil<std::chrono::seconds>(settings_.hold_time).count());
  send(way, encode(open));
}

void Session::on_closed(Time now, Direction way, std::string_view why) {
  if (of(way).state != State::kIdle) end(now, way, std::nullopt, std::string(why));
}

// Closes one connection; `notification` is sent to the peer first.
void Session::end(Time now, Direction way, const std::optional<Notification>& notification,
                  std::string why) {
  if (notification) send(way, encode(*notification));
  actions_.push_back({Action::Kind::kClose, way, {}});
  of(way) = Connection{};
  const bool was_up = active_direction_ == way;
  if (was_up) {
    active_direction_.reset();
    unacknowledged_ = 0;
    unacknowledged_since_.reset();
    actions_.push_back({Action::Kind::kDown, way, why});
  }
  // After a collision the other connection continues the session.
  if (of(other(way)).state >= State::kOpenSent) return;
  schedule_retry(now, std::move(why));
}

void Session::schedule_retry(Time now, std::string why) {
  last_end_reason_ = std::move(why);
  Duration delay = settings_.initial_retry_delay;
  for (int i = 0; i < failures_ && delay < settings_.max_retry_delay; ++i) delay *= 2;
  delay = std::min(delay, settings_.max_retry_delay);
  ++failures_;
  // Section 10 asks for a jitter of up to a quarter, so that peers do not dial in step.
  next_dial_at_ =
      now + from_seconds(seconds(delay) * std::uniform_real_distribution<>(0.75, 1.0)(random_));
}

// ---- messages

void Session::on_bytes(Time now, Direction way, std::string_view bytes) {
  Connection& c = of(way);
  if (c.state < State::kOpenSent) return;
  c.reader.feed(bytes);
  while (c.state >= State::kOpenSent) {
    auto item = c.reader.next();
    if (!item) break;
    if (const auto* fault = std::get_if<ProtocolError>(&*item))
      return end(now, way, fault->notification,
                 "malformed message from the peer: " + fault->reason);
    on_message(now, way, std::get<Message>(*item));
  }
  if (c.state >= State::kOpenSent && c.reader.buffered() > kMaxBuffered)
    end(now, way, Notification{ErrorCode::kCease, 8, {}},
        "the peer sent more than 64 KiB without a complete message");
}

void Session::on_message(Time now, Direction way, const Message& message) {
  Connection& c = of(way);
  if (const auto* n = std::get_if<Notification>(&message))
    return end(now, way, std::nullopt,
               "the peer closed the session: code " + std::to_string(static_cast<int>(n->code)) +
                   ", subcode " + std::to_string(n->subcode));
  if (const auto* open = std::get_if<Open>(&message)) {
    if (c.state != State::kOpenSent)
      return end(now, way, Notification{ErrorCode::kFiniteStateMachine, 0, {}}, "unexpected OPEN");
    return on_open(now, way, *open);
  }
  if (c.state == State::kOpenSent)
    return end(now, way, Notification{ErrorCode::kFiniteStateMachine, 1, {}},
               "first message was not an OPEN");
  if (hold_ > Duration{0}) c.receive_deadline = now + hold_;
  received_at_ = now;
  if (std::holds_alternative<Keepalive>(message)) {
    if (c.state == State::kOpenConfirm) establish(now, way);
    return;
  }
  // An UPDATE of the peer is ignored: the routes of a router are not used.
  if (c.state == State::kOpenConfirm)
    end(now, way, Notification{ErrorCode::kFiniteStateMachine, 2, {}},
        "UPDATE before the session was established");
}

void Session::on_open(Time now, Direction way, const Open& open) {
  Connection& c = of(way);
  if (open.as != settings_.remote_as)
    return end(now, way, Notification{ErrorCode::kOpen, kBadPeerAs, {}},
               "unexpected peer AS " + std::to_string(open.as));
  const Duration peer_hold = std::chrono::seconds(open.hold_time);
  if (peer_hold > Duration{0} && peer_hold < std::chrono::seconds(3))
    return end(now, way, Notification{ErrorCode::kOpen, kUnacceptableHold, {}},
               "the peer's hold time is below 3 s");
  c.peer_id = open.id;
  c.four_octets = open.four_octet_as;
  c.reader.set_four_octet_as(open.four_octet_as);
  const Direction other_way = other(way);
  if (of(other_way).state == State::kOpenConfirm) {
    // The connection that the side with the higher identifier dialled is kept.
    const Direction kept = settings_.id > open.id ? Direction::kOutbound : Direction::kInbound;
    const Direction closed = other(kept);
    send(closed, encode(Notification{ErrorCode::kCease, kCollision, {}}));
    actions_.push_back({Action::Kind::kClose, closed, {}});
    of(closed) = Connection{};
    if (closed == way) return;
  }
  hold_ = std::min(settings_.hold_time, peer_hold);
  c.state = State::kOpenConfirm;
  c.receive_deadline = hold_ > Duration{0} ? now + hold_ : Time::max();
  send(way, encode(Keepalive{}));
  keepalive_at_ = hold_ > Duration{0} ? now + hold_ / kKeepalivesPerHoldTime : Time::max();
}

void Session::establish(Time now, Direction way) {
  of(way).state = State::kEstablished;
  active_direction_ = way;
  failures_ = 0;
  const Direction other_way = other(way);
  if (of(other_way).state != State::kIdle) {
    if (of(other_way).state >= State::kOpenSent)
      send(other_way, encode(Notification{ErrorCode::kCease, kCollision, {}}));
    actions_.push_back({Action::Kind::kClose, other_way, {}});
    of(other_way) = Connection{};
  }
  keepalive_at_ = hold_ > Duration{0} ? now + hold_ / kKeepalivesPerHoldTime : Time::max();
  actions_.push_back({Action::Kind::kUp, way, {}});
  for (const auto& [prefix, attributes] : routes_) send_route(prefix, attributes);
}

// ---- routes

void Session::send_route(const Prefix& prefix, const Attributes& attributes) {
  if (!active_direction_) return;
  Update update;
  update.attributes = attributes;
  update.announced = {prefix};
  send(*active_direction_, encode(update, of(*active_direction_).four_octets));
}

void Session::announce(const Prefix& prefix, const Attributes& attributes) {
  const auto it = routes_.find(prefix);
  if (it != routes_.end() && it->second == attributes) return;
  routes_[prefix] = attributes;
  send_route(prefix, attributes);
}

void Session::withdraw(const Prefix& prefix) {
  if (routes_.erase(prefix) == 0 || !active_direction_) return;
  Update update;
  update.withdrawn = {prefix};
  send(*active_direction_, encode(update, of(*active_direction_).four_octets));
}

void Session::on_unacknowledged(Time now, Direction way, std::size_t bytes) {
  if (active_direction_ != way) return;
  unacknowledged_ = bytes;
  if (bytes == 0) {
    unacknowledged_since_.reset();
  } else if (!unacknowledged_since_) {
    unacknowledged_since_ = now;
  }
}

// ---- time

void Session::on_timer(Time now) {
  if (stopped_) return;
  for (const Direction way : {Direction::kOutbound, Direction::kInbound}) {
    const Connection& c = of(way);
    if (c.state < State::kOpenSent || now < c.receive_deadline) continue;
    end(now, way, Notification{ErrorCode::kHoldTimer, 0, {}},
        c.state == State::kEstablished ? "nothing received from the peer within the hold time"
                                       : "the peer did not open the session in time");
  }
  if (active_direction_ && unacknowledged_since_ && hold_ > Duration{0} &&
      now >= *unacknowledged_since_ + hold_)
    end(now, *active_direction_, std::nullopt,
        "the peer acknowledged nothing within the hold time");
  if (active_direction_ && now >= keepalive_at_) {
    keepalive_at_ = now + hold_ / kKeepalivesPerHoldTime;
    send(*active_direction_, encode(Keepalive{}));
  }
  if (of(Direction::kOutbound).state == State::kConnect && now >= connect_deadline_)
    end(now, Direction::kOutbound, std::nullopt, "connection attempt timed out");
  if (state() == State::kIdle && now >= next_dial_at_) {
    of(Direction::kOutbound).state = State::kConnect;
    connect_deadline_ = now + settings_.connect_timeout;
    actions_.push_back({Action::Kind::kDial, Direction::kOutbound, {}});
  }
}

Time Session::next_timer_at() const {
  if (stopped_) return Time::max();
  Time first = Time::max();
  for (const Connection& c : connections_)
    if (c.state >= State::kOpenSent) first = std::min(first, c.receive_deadline);
  if (active_direction_) first = std::min(first, keepalive_at_);
  if (active_direction_ && unacknowledged_since_ && hold_ > Duration{0})
    first = std::min(first, *unacknowledged_since_ + hold_);
  if (of(Direction::kOutbound).state == State::kConnect) first = std::min(first, connect_deadline_);
  if (state() == State::kIdle) first = std::min(first, next_dial_at_);
  return first;
}

Time Session::overdue_at() const {
  if (!established() || hold_ <= Duration{0}) return Time::max();
  return received_at_ + hold_ / kKeepalivesPerHoldTime +
         hold_ / (kKeepalivesPerHoldTime * kKeepalivesPerHoldTime);
}

bool Session::is_overdue(Time now) const { return now >= overdue_at(); }

void Session::stop(Time now, std::string_view why) {
  if (stopped_) return;
  routes_.clear();
  for (const Direction way : {Direction::kOutbound, Direction::kInbound}) {
    if (of(way).state == State::kIdle) continue;
    std::optional<Notification> notification;
    if (of(way).state >= State::kOpenSent)
      notification = Notification{ErrorCode::kCease, kShutdown, encode_shutdown_communication(why)};
    end(now, way, notification, std::string(why));
  }
  stopped_ = true;
}

}  // namespace balancer::bgp

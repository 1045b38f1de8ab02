#include "route_announcement/bgp_session.h"

#include <algorithm>

namespace balancer::bgp {
namespace {

// Our keepalives in one hold time (section 4.4).
constexpr int kKeepalives = 3;
constexpr std::uint8_t kBadPeerAs = 2, kUnacceptableHold = 6;
// More than one message and what is behind it is never waited for.
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
      hold_(settings.hold),
      dial_at_(now) {}

Session::State Session::state() const {
  return std::max(connections_[0].state, connections_[1].state);
}

void Session::send(Way way, std::string bytes) {
  if (up_ == way) unsent_ += bytes.size();  // until on_unsent() tells what has become of it
  actions_.push_back({Action::Kind::kSend, way, std::move(bytes)});
}

// ---- connections

void Session::on_connected(Time now, Way way) {
  Connection& c = of(way);
  const bool unwanted = stopped_ || up_ || (way == Way::kIn && c.state != State::kIdle) ||
                        (way == Way::kOut && c.state != State::kConnect);
  if (unwanted) {
    if (way == Way::kOut || c.state == State::kIdle) {
      send(way, encode(Notification{Code::kCease, kCollision, {}}));
      actions_.push_back({Action::Kind::kClose, way, {}});
      if (way == Way::kOut) c = Connection{};
    }
    return;
  }
  c = Connection{};
  c.state = State::kOpenSent;
  c.waits_until = now + settings_.open_patience;
  Open open;
  open.as = settings_.local_as;
  open.id = settings_.id;
  open.hold_time =
      static_cast<std::uint16_t>(std::chrono::ceil<std::chrono::seconds>(settings_.hold).count());
  send(way, encode(open));
}

void Session::on_closed(Time now, Way way, std::string_view why) {
  if (of(way).state != State::kIdle) end(now, way, std::nullopt, std::string(why));
}

// One connection has come to its end. `say`: what the peer is told first.
void Session::end(Time now, Way way, const std::optional<Notification>& say, std::string why) {
  if (say) send(way, encode(*say));
  actions_.push_back({Action::Kind::kClose, way, {}});
  of(way) = Connection{};
  const bool was_up = up_ == way;
  if (was_up) {
    up_.reset();
    unsent_ = 0;
    unsent_since_.reset();
    actions_.push_back({Action::Kind::kDown, way, why});
  }
  // The other connection of a collision goes on.
  if (of(other(way)).state >= State::kOpenSent) return;
  fail(now, std::move(why));
}

void Session::fail(Time now, std::string why) {
  last_end_ = std::move(why);
  Duration pause = settings_.retry;
  for (int i = 0; i < failures_ && pause < settings_.longest_retry; ++i) pause *= 2;
  pause = std::min(pause, settings_.longest_retry);
  ++failures_;
  // Section 10 has timers shortened by up to a quarter, so that peers do not come in step.
  dial_at_ =
      now + from_seconds(seconds(pause) * std::uniform_real_distribution<>(0.75, 1.0)(random_));
}

// ---- messages

void Session::on_bytes(Time now, Way way, std::string_view bytes) {
  Connection& c = of(way);
  if (c.state < State::kOpenSent) return;
  c.reader.feed(bytes);
  while (c.state >= State::kOpenSent) {
    auto item = c.reader.next();
    if (!item) break;
    if (const auto* fault = std::get_if<Fault>(&*item))
      return end(now, way, fault->notification,
                 "the peer sent what makes no sense: " + fault->reason);
    on_message(now, way, std::get<Message>(*item));
  }
  if (c.state >= State::kOpenSent && c.reader.buffered() > kMaxBuffered)
    end(now, way, Notification{Code::kCease, 8, {}}, "the peer sent too much");
}

void Session::on_message(Time now, Way way, const Message& message) {
  Connection& c = of(way);
  if (const auto* n = std::get_if<Notification>(&message))
    return end(now, way, std::nullopt,
               "the peer ended it: code " + std::to_string(static_cast<int>(n->code)) +
                   ", subcode " + std::to_string(n->subcode));
  if (const auto* open = std::get_if<Open>(&message)) {
    if (c.state != State::kOpenSent)
      return end(now, way, Notification{Code::kStates, 0, {}}, "an OPEN out of turn");
    return on_open(now, way, *open);
  }
  if (c.state == State::kOpenSent)
    return end(now, way, Notification{Code::kStates, 1, {}}, "no OPEN came first");
  if (hold_ > Duration{0}) c.waits_until = now + hold_;
  heard_at_ = now;
  if (std::holds_alternative<Keepalive>(message)) {
    if (c.state == State::kOpenConfirm) establish(now, way);
    return;
  }
  // What the peer announces is not used here.
  if (c.state == State::kOpenConfirm)
    end(now, way, Notification{Code::kStates, 2, {}}, "an UPDATE before the session was up");
}

void Session::on_open(Time now, Way way, const Open& open) {
  Connection& c = of(way);
  if (open.as != settings_.remote_as)
    return end(now, way, Notification{Code::kOpen, kBadPeerAs, {}},
               "the peer is of AS " + std::to_string(open.as));
  const Duration theirs = std::chrono::seconds(open.hold_time);
  if (theirs > Duration{0} && theirs < std::chrono::seconds(3))
    return end(now, way, Notification{Code::kOpen, kUnacceptableHold, {}},
               "the hold time is too short");
  c.peer_id = open.id;
  c.four_octets = open.four_octets;
  c.reader.set_four_octets(open.four_octets);
  const Way another = other(way);
  if (of(another).state == State::kOpenConfirm) {
    // The one that the side with the higher identifier has dialled stays.
    const Way stays = settings_.id > open.id ? Way::kOut : Way::kIn;
    const Way goes = other(stays);
    send(goes, encode(Notification{Code::kCease, kCollision, {}}));
    actions_.push_back({Action::Kind::kClose, goes, {}});
    of(goes) = Connection{};
    if (goes == way) return;
  }
  hold_ = std::min(settings_.hold, theirs);
  c.state = State::kOpenConfirm;
  c.waits_until = hold_ > Duration{0} ? now + hold_ : Time::max();
  send(way, encode(Keepalive{}));
  keepalive_at_ = hold_ > Duration{0} ? now + hold_ / kKeepalives : Time::max();
}

void Session::establish(Time now, Way way) {
  of(way).state = State::kEstablished;
  up_ = way;
  failures_ = 0;
  const Way another = other(way);
  if (of(another).state != State::kIdle) {
    if (of(another).state >= State::kOpenSent)
      send(another, encode(Notification{Code::kCease, kCollision, {}}));
    actions_.push_back({Action::Kind::kClose, another, {}});
    of(another) = Connection{};
  }
  keepalive_at_ = hold_ > Duration{0} ? now + hold_ / kKeepalives : Time::max();
  actions_.push_back({Action::Kind::kUp, way, {}});
  for (const auto& [prefix, attributes] : routes_) send_route(prefix, attributes);
}

// ---- routes

void Session::send_route(const Prefix& prefix, const Attributes& attributes) {
  if (!up_) return;
  Update update;
  update.attributes = attributes;
  update.announced = {prefix};
  send(*up_, encode(update, of(*up_).four_octets));
}

void Session::announce(const Prefix& prefix, const Attributes& attributes) {
  const auto it = routes_.find(prefix);
  if (it != routes_.end() && it->second == attributes) return;
  routes_[prefix] = attributes;
  send_route(prefix, attributes);
}

void Session::withdraw(const Prefix& prefix) {
  if (routes_.erase(prefix) == 0 || !up_) return;
  Update update;
  update.withdrawn = {prefix};
  send(*up_, encode(update, of(*up_).four_octets));
}

void Session::on_unsent(Time now, Way way, std::size_t bytes) {
  if (up_ != way) return;
  unsent_ = bytes;
  if (bytes == 0) {
    unsent_since_.reset();
  } else if (!unsent_since_) {
    unsent_since_ = now;
  }
}

// ---- time

void Session::on_timer(Time now) {
  if (stopped_) return;
  for (const Way way : {Way::kOut, Way::kIn}) {
    const Connection& c = of(way);
    if (c.state < State::kOpenSent || now < c.waits_until) continue;
    end(now, way, Notification{Code::kHoldTimer, 0, {}},
        c.state == State::kEstablished ? "the peer has said nothing for a hold time"
                                       : "the peer did not open the session in time");
  }
  if (up_ && unsent_since_ && hold_ > Duration{0} && now >= *unsent_since_ + hold_)
    end(now, *up_, std::nullopt, "the peer has read nothing for a hold time");
  if (up_ && now >= keepalive_at_) {
    keepalive_at_ = now + hold_ / kKeepalives;
    send(*up_, encode(Keepalive{}));
  }
  if (of(Way::kOut).state == State::kConnect && now >= dial_until_)
    end(now, Way::kOut, std::nullopt, "no connection came up");
  if (state() == State::kIdle && now >= dial_at_) {
    of(Way::kOut).state = State::kConnect;
    dial_until_ = now + settings_.connect_patience;
    actions_.push_back({Action::Kind::kDial, Way::kOut, {}});
  }
}

Time Session::next() const {
  if (stopped_) return Time::max();
  Time first = Time::max();
  for (const Connection& c : connections_)
    if (c.state >= State::kOpenSent) first = std::min(first, c.waits_until);
  if (up_) first = std::min(first, keepalive_at_);
  if (up_ && unsent_since_ && hold_ > Duration{0}) first = std::min(first, *unsent_since_ + hold_);
  if (of(Way::kOut).state == State::kConnect) first = std::min(first, dial_until_);
  if (state() == State::kIdle) first = std::min(first, dial_at_);
  return first;
}

Time Session::quiet_from() const {
  if (!established() || hold_ <= Duration{0}) return Time::max();
  return heard_at_ + hold_ / kKeepalives + hold_ / (kKeepalives * kKeepalives);
}

bool Session::quiet(Time now) const { return now >= quiet_from(); }

void Session::stop(Time now, std::string_view why) {
  if (stopped_) return;
  routes_.clear();
  for (const Way way : {Way::kOut, Way::kIn}) {
    if (of(way).state == State::kIdle) continue;
    std::optional<Notification> say;
    if (of(way).state >= State::kOpenSent)
      say = Notification{Code::kCease, kShutdown, shutdown_text(why)};
    end(now, way, say, std::string(why));
  }
  stopped_ = true;
}

}  // namespace balancer::bgp

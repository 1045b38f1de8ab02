#include "membership/membership_protocol.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace balancer::membership {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxLateness = 8;
// An update is told so many times the logarithm of the group's size.
constexpr double kTellings = 3;
constexpr std::size_t kMaxNews = 1024;
constexpr std::size_t kMaxRelays = 256, kMaxLate = 64;
// Until somebody has answered, the seeds are asked this often.
constexpr Duration kJoinEvery = milliseconds(500);
constexpr std::size_t kMaxName = 64, kMaxEndpoint = 64;

// Of two things said of one member, whether the first is newer.
bool newer(const Update& a, const Update& b) {
  return std::tuple(a.life, a.version, a.state) > std::tuple(b.life, b.version, b.state);
}

double log2_of(std::size_t n) {
  return std::log2(static_cast<double>(std::max<std::size_t>(n, 2)));
}

}  // namespace

MembershipProtocol::MembershipProtocol(const GroupSettings& settings, const Update& self,
                                       std::uint64_t seed, Time now)
    : settings_(settings),
      name_(self.name),
      random_(seed),
      // Those that start together probe at different times.
      probe_at_(now + Duration(static_cast<Duration::rep>(
                          random_() % static_cast<std::uint64_t>(settings.period.count())))),
      join_at_(now),
      exchange_at_(now + settings.full_exchange) {
  Member me;
  static_cast<Update&>(me) = self;
  me.state = State::kAlive;
  me.since = me.alive_since = now;
  members_.emplace(name_, me);
  spread(me);
}

const Member* MembershipProtocol::find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

std::size_t MembershipProtocol::alive() const {
  const auto gone = std::count_if(unwell_.begin(), unwell_.end(), [this](const auto& name) {
    return members_.at(name).state != State::kSuspect;
  });
  return members_.size() - static_cast<std::size_t>(gone);
}

void MembershipProtocol::note_state(const Member& member) {
  if (member.state == State::kAlive) {
    unwell_.erase(member.name);
  } else {
    unwell_.insert(member.name);
  }
}

Duration MembershipProtocol::suspicion() const {
  return from_seconds(seconds(settings_.period) * settings_.suspicion *
                      std::max(1.0, log2_of(alive()) / 2) * (1 + lateness_));
}

// ---- round trips

void MembershipProtocol::learn(const std::string& name, Duration took) {
  RoundTrip& t = trips_[name];
  const double s = seconds(took);
  if (!t.known) {
    t = {s, s / 2, true};
    return;
  }
  t.deviation += 0.25 * (std::abs(s - t.mean) - t.deviation);
  t.mean += 0.125 * (s - t.mean);
}

Duration MembershipProtocol::wait_for(const std::string& name) const {
  const auto it = trips_.find(name);
  const Duration usual = it == trips_.end() || !it->second.known
                             ? settings_.max_wait
                             : from_seconds(it->second.mean + 4 * it->second.deviation);
  return std::clamp(usual, settings_.min_wait, settings_.max_wait) * (1 + lateness_);
}

// ---- what is said of members

void MembershipProtocol::set_state(Time now, Member& member, State state) {
  if (member.state != state) {
    member.state = state;
    member.since = now;
    note_state(member);
    ++revision_;
  }
  spread(member);
}

void MembershipProtocol::spread(const Update& update) {
  std::erase_if(news_, [&](const News& n) { return n.update.name == update.name; });
  if (news_.size() >= kMaxNews) news_.pop_back();
  news_.push_front({update, 0});
}

// Somebody says of this instance what is not so.
void MembershipProtocol::refute(Time now, const Update& said) {
  Member& me = self();
  if (said.life > me.life && said.state != State::kDead && said.state != State::kLeft) {
    superseded_ = true;
    return;
  }
  if (left_) return;
  const bool same_life = said.life == me.life;
  if ((same_life && said.version >= me.version && said.state != State::kAlive) ||
      (same_life && said.version > me.version)) {
    me.version = said.version + 1;
    me.since = now;
  }
  // Also of one that has only old news of it.
  spread(me);
}

void MembershipProtocol::apply(Time now, const Update& u) {
  if (u.name.empty() || u.name.size() > kMaxName || u.endpoint.size() > kMaxEndpoint ||
      u.meta.size() > settings_.max_meta)
    return;
  if (u.name == name_) {
    if (u.life != self().life || u.version != self().version || u.state != State::kAlive)
      refute(now, u);
    return;
  }
  const auto it = members_.find(u.name);
  if (it == members_.end()) {
    // News of one that has gone, and was not known, says nothing.
    if (u.state == State::kDead || u.state == State::kLeft) return;
    if (members_.size() >= settings_.max_members) return;
    Member m;
    static_cast<Update&>(m) = u;
    m.since = m.alive_since = now;
    members_.emplace(u.name, m);
    note_state(m);
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(random_() % (order_.size() + 1)),
                  u.name);
    ++revision_;
    spread(u);
    return;
  }
  Member& m = it->second;
  if (!newer(u, m)) return;
  const bool reborn = u.life > m.life;
  const bool back =
      (m.state == State::kDead || m.state == State::kLeft) && u.state == State::kAlive;
  const bool other = u.meta != m.meta || u.endpoint != m.endpoint;
  const State before = m.state;
  const Time since = m.since, alive_since = m.alive_since;
  static_cast<Update&>(m) = u;
  m.since = before == u.state && !reborn ? since : now;
  m.alive_since = reborn || back ? now : alive_since;
  note_state(m);
  if (reborn) trips_.erase(u.name);
  if (reborn || other || before != u.state) ++revision_;
  spread(u);
}

// What has been told least goes first; of the rest each member hears about as often.
std::vector<Update> MembershipProtocol::pick_news(const std::string& to) {
  const int most = static_cast<int>(std::ceil(kTellings * log2_of(members_.size() + 1)));
  std::stable_sort(news_.begin(), news_.end(),
                   [](const News& a, const News& b) { return a.told < b.told; });
  std::vector<Update> picked;
  // One that is thought badly of hears it, so that it can speak for itself.
  if (const auto it = members_.find(to);
      it != members_.end() && it->second.state != State::kAlive && to != name_)
    picked.push_back(it->second);
  for (News& n : news_) {
    if (picked.size() >= settings_.max_updates) break;
    if (n.update.name == to && !picked.empty() && picked.front().name == to) continue;
    picked.push_back(n.update);
    ++n.told;
  }
  std::erase_if(news_, [most](const News& n) { return n.told >= most; });
  return picked;
}

void MembershipProtocol::send(const std::string& endpoint, Message message, const std::string& to) {
  if (message.updates.empty()) message.updates = pick_news(to);
  sends_.push_back({endpoint, std::move(message)});
}

void MembershipProtocol::send_all(Time, const std::string& endpoint) {
  Message page;
  for (const auto& [name, m] : members_) {
    page.updates.push_back(m);
    if (page.updates.size() < settings_.max_updates) continue;
    sends_.push_back({endpoint, std::exchange(page, {})});
  }
  if (!page.updates.empty()) sends_.push_back({endpoint, std::move(page)});
}

std::vector<std::string> MembershipProtocol::some_others(std::size_t n, const std::string& but) {
  std::vector<std::string> all;
  for (const auto& [name, m] : members_)
    if (name != name_ && name != but && m.state == State::kAlive) all.push_back(name);
  std::shuffle(all.begin(), all.end(), random_);
  if (all.size() > n) all.resize(n);
  return all;
}

// ---- messages

void MembershipProtocol::on_message(Time now, const std::string& from, const std::string& endpoint,
                                    const Message& m) {
  if (superseded_) return;
  for (const Update& u : m.updates) apply(now, u);
  switch (m.kind) {
    case Message::Kind::kPing:
      if (left_) return;
      return send(endpoint, {Message::Kind::kAck, m.number, {}, {}}, from);
    case Message::Kind::kAck: {
      if (const auto relay = relays_.extract(m.number)) {
        sends_.push_back({relay.mapped().for_endpoint,
                          {Message::Kind::kAck, relay.mapped().their_number, from, {}}});
        return;
      }
      if (probe_ && probe_->number == m.number) {
        if (!probe_->indirect) learn(probe_->name, now - probe_->sent);
        return end_probe(now, true);
      }
      // Slow, and not dead: it is given more time from now on.
      if (const auto late = late_.extract(m.number)) {
        const std::string& name = late.mapped().first;
        learn(name, now - late.mapped().second);
        const auto it = members_.find(name);
        if (it != members_.end() && it->second.state == State::kSuspect) {
          // Only its own word clears it for all; here it counts as heard of.
          it->second.since = now;
          send(it->second.endpoint, {Message::Kind::kTold, 0, {}, {}}, name);
        }
      }
      return;
    }
    case Message::Kind::kPingFor: {
      const auto it = members_.find(m.target);
      if (it == members_.end() || left_ || relays_.size() >= kMaxRelays) return;
      const auto number = next_number_++;
      relays_[number] = {endpoint, m.number, now + settings_.period * 2};
      return send(it->second.endpoint, {Message::Kind::kPing, number, {}, {}}, m.target);
    }
    case Message::Kind::kJoin:
      return send_all(now, endpoint);
    default:
      return;
  }
}

// ---- probes

void MembershipProtocol::begin_probe(Time now) {
  while (true) {
    if (order_.empty()) {
      for (const auto& [name, m] : members_)
        if (name != name_ && (m.state == State::kAlive || m.state == State::kSuspect))
          order_.push_back(name);
      if (order_.empty()) return;
      std::shuffle(order_.begin(), order_.end(), random_);
    }
    const std::string name = order_.back();
    order_.pop_back();
    const auto it = members_.find(name);
    if (it == members_.end() ||
        (it->second.state != State::kAlive && it->second.state != State::kSuspect)) {
      if (order_.empty()) return;
      continue;
    }
    Probe p;
    p.name = name;
    p.number = next_number_++;
    p.sent = now;
    p.direct_until = now + std::min(wait_for(name), settings_.period * (1 + lateness_));
    p.until = p.direct_until + settings_.period * (1 + lateness_);
    probe_ = p;
    return send(it->second.endpoint, {Message::Kind::kPing, p.number, {}, {}}, name);
  }
}

void MembershipProtocol::end_probe(Time now, bool answered) {
  const Probe p = *std::exchange(probe_, std::nullopt);
  if (answered) {
    lateness_ = std::max(0, lateness_ - 1);
    return;
  }
  lateness_ = std::min(kMaxLateness, lateness_ + 1);
  const auto it = members_.find(p.name);
  if (it == members_.end() || it->second.state != State::kAlive) return;
  set_state(now, it->second, State::kSuspect);
  // It hears of it at once, and may speak for itself.
  send(it->second.endpoint, {Message::Kind::kTold, 0, {}, {}}, p.name);
}

void MembershipProtocol::join(Time now) {
  join_at_ = now + kJoinEvery;
  std::set<std::string> heard_of;
  for (const auto& [name, m] : members_)
    if (m.state == State::kAlive || m.state == State::kSuspect) heard_of.insert(m.endpoint);
  // Alone it asks all; else, now and then, those that have gone: they may be back and know nobody.
  for (const auto& seed : settings_.seeds)
    if (heard_of.count(seed) == 0 && (heard_of.size() == 1 || random_() % 2 == 0))
      sends_.push_back({seed, {Message::Kind::kJoin, 0, {}, {self()}}});
}

void MembershipProtocol::on_timer(Time now) {
  if (left_ || superseded_) return;
  if (now >= join_at_) join(now);
  if (now >= exchange_at_) {
    exchange_at_ = now + settings_.full_exchange;
    for (const auto& name : some_others(1, {}))
      sends_.push_back({members_.at(name).endpoint, {Message::Kind::kJoin, 0, {}, {self()}}});
  }
  if (probe_ && !probe_->indirect && now >= probe_->direct_until) {
    probe_->indirect = true;
    late_[probe_->number] = {probe_->name, probe_->sent};
    if (late_.size() > kMaxLate) late_.erase(late_.begin());
    for (const auto& name : some_others(static_cast<std::size_t>(settings_.indirect), probe_->name))
      send(members_.at(name).endpoint, {Message::Kind::kPingFor, probe_->number, probe_->name, {}},
           name);
  }
  if (probe_ && now >= probe_->until) end_probe(now, false);
  if (!probe_ && now >= probe_at_) {
    probe_at_ = now + settings_.period;
    begin_probe(now);
  }
  std::erase_if(relays_, [now](const auto& r) { return r.second.until <= now; });
  const Duration patience = suspicion();
  for (const auto& name : std::vector(unwell_.begin(), unwell_.end())) {
    Member& m = members_.at(name);
    if (m.state == State::kSuspect && now - m.since >= patience) set_state(now, m, State::kDead);
    const bool gone = m.state == State::kDead || m.state == State::kLeft;
    if (!gone || now - m.since < settings_.forget) continue;
    trips_.erase(name);
    members_.erase(name);
    unwell_.erase(name);
  }
}

Time MembershipProtocol::next() const {
  if (left_ || superseded_) return Time::max();
  Time first = std::min({join_at_, exchange_at_, probe_ ? Time::max() : probe_at_});
  if (probe_) first = std::min(first, probe_->indirect ? probe_->until : probe_->direct_until);
  if (unwell_.empty()) return first;
  const Duration patience = suspicion();
  for (const auto& name : unwell_) {
    const Member& m = members_.at(name);
    if (m.state == State::kSuspect) first = std::min(first, m.since + patience);
  }
  return first;
}

// ---- its own word

void MembershipProtocol::set_meta(Time now, const std::string& meta) {
  Member& me = self();
  if (me.meta == meta || left_) return;
  me.meta = meta;
  ++me.version;
  me.since = now;
  ++revision_;
  spread(me);
  // Those that decide by it hear at once.
  for (const auto& name : some_others(static_cast<std::size_t>(settings_.indirect), {}))
    send(members_.at(name).endpoint, {Message::Kind::kTold, 0, {}, {}}, name);
}

void MembershipProtocol::leave(Time now) {
  if (std::exchange(left_, true)) return;
  Member& me = self();
  ++me.version;
  me.state = State::kLeft;
  me.since = now;
  spread(me);
  for (const auto& name : some_others(8, {}))
    send(members_.at(name).endpoint, {Message::Kind::kTold, 0, {}, {}}, name);
}

}  // namespace balancer::membership

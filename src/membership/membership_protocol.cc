#include "membership/membership_protocol.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace balancer::membership {
namespace {

using std::chrono::milliseconds;
using Kind = GossipMessage::Kind;

constexpr int kMaxLocalHealth = 8;
// An update is sent this many times the base-2 logarithm of the number of members.
constexpr double kTransmitMultiplier = 3;
// Number of members that are notified immediately when this instance leaves.
constexpr std::size_t kLeaveReceivers = 8;
constexpr std::size_t kMaxRelayedPings = 256;
constexpr std::size_t kMaxLateProbes = 64;
// Interval at which a join message is sent to seeds that are not known to be alive.
constexpr Duration kJoinInterval = milliseconds(500);
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxEndpointLength = 64;

// Weights of a new sample in the smoothed round-trip time and in its variation (RFC 6298), and how
// many variations are added to the timeout.
constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;
constexpr double kDeviations = 4;

bool is_newer(const MemberUpdate& a, const MemberUpdate& b) {
  return std::tuple(a.incarnation, a.sequence, a.state) >
         std::tuple(b.incarnation, b.sequence, b.state);
}

bool is_dead_or_left(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

double log2_of(std::size_t n) {
  return std::log2(static_cast<double>(std::max<std::size_t>(n, 2)));
}

}  // namespace

MembershipProtocol::MembershipProtocol(const MembershipSettings& settings, const MemberUpdate& self,
                                       std::uint64_t seed, Time now)
    : settings_(settings),
      name_(self.name),
      random_(seed),
      // A random offset spreads the probes of members that start at the same time.
      next_probe_at_(now +
                     Duration(static_cast<Duration::rep>(
                         random_() % static_cast<std::uint64_t>(settings.probe_period.count())))),
      next_join_at_(now),
      next_full_sync_at_(now + settings.full_sync_interval) {
  Member member;
  static_cast<MemberUpdate&>(member) = self;
  member.state = MemberState::kAlive;
  member.state_entered_at = now;
  members_.emplace(name_, member);
  queue_.push(member);
}

const Member* MembershipProtocol::find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

// Returns the number of members that are alive or suspected.
std::size_t MembershipProtocol::live_members() const {
  const auto departed =
      std::count_if(not_alive_.begin(), not_alive_.end(),
                    [this](const auto& name) { return is_dead_or_left(members_.at(name).state); });
  return members_.size() - static_cast<std::size_t>(departed);
}

Duration MembershipProtocol::suspicion_timeout() const {
  return from_seconds(seconds(settings_.probe_period) * settings_.suspicion_multiplier *
                      std::max(1.0, log2_of(live_members()) / 2) * (1 + local_health_));
}

// ---- round trips

void MembershipProtocol::record_round_trip(const std::string& name, Duration took) {
  RoundTrip& trip = round_trips_[name];
  const double sample = seconds(took);
  if (!trip.is_known) {
    trip = {sample, sample / 2, true};
    return;
  }
  trip.deviation += kDeviationGain * (std::abs(sample - trip.mean) - trip.deviation);
  trip.mean += kMeanGain * (sample - trip.mean);
}

Duration MembershipProtocol::probe_timeout(const std::string& name) const {
  const auto it = round_trips_.find(name);
  const Duration expected =
      it == round_trips_.end() || !it->second.is_known
          ? settings_.max_probe_timeout
          : from_seconds(it->second.mean + kDeviations * it->second.deviation);
  return std::clamp(expected, settings_.min_probe_timeout, settings_.max_probe_timeout) *
         (1 + local_health_);
}

// ---- updates of members

void MembershipProtocol::update_not_alive(const Member& member) {
  if (member.state == MemberState::kAlive) {
    not_alive_.erase(member.name);
  } else {
    not_alive_.insert(member.name);
  }
}

void MembershipProtocol::set_state(Time now, Member& member, MemberState state) {
  if (member.state != state) {
    member.state = state;
    member.state_entered_at = now;
    update_not_alive(member);
    ++revision_;
  }
  queue_.push(member);
}

// Responds to an update about this instance that this process did not issue: with a newer update,
// or with the present one if the received update is older. An update with a later incarnation means
// that this process is superseded.
void MembershipProtocol::refute(Time now, const MemberUpdate& update) {
  Member& member = self();
  if (update.incarnation > member.incarnation && !is_dead_or_left(update.state)) {
    is_superseded_ = true;
    return;
  }
  if (has_left_) return;
  const bool is_this_process = update.incarnation == member.incarnation;
  const bool is_accusation =
      update.sequence >= member.sequence && update.state != MemberState::kAlive;
  if (is_this_process && (is_accusation || update.sequence > member.sequence)) {
    member.sequence = update.sequence + 1;
    member.state_entered_at = now;
  }
  queue_.push(member);
}

void MembershipProtocol::apply(Time now, const MemberUpdate& update) {
  if (update.name.empty() || update.name.size() > kMaxNameLength ||
      update.endpoint.size() > kMaxEndpointLength || update.meta.size() > settings_.max_meta_bytes)
    return;
  if (update.name == name_) {
    if (update.incarnation != self().incarnation || update.sequence != self().sequence ||
        update.state != MemberState::kAlive)
      refute(now, update);
    return;
  }
  const auto it = members_.find(update.name);
  if (it == members_.end()) return add_member(now, update);
  Member& member = it->second;
  if (!is_newer(update, member)) return;
  const bool is_new_process = update.incarnation > member.incarnation;
  const bool has_new_state = update.state != member.state;
  const bool has_new_data = update.meta != member.meta || update.endpoint != member.endpoint;
  static_cast<MemberUpdate&>(member) = update;
  if (has_new_state || is_new_process) member.state_entered_at = now;
  update_not_alive(member);
  if (is_new_process) round_trips_.erase(update.name);
  if (is_new_process || has_new_data || has_new_state) ++revision_;
  queue_.push(update);
}

void MembershipProtocol::add_member(Time now, const MemberUpdate& update) {
  if (is_dead_or_left(update.state) || members_.size() >= settings_.max_members) return;
  Member member;
  static_cast<MemberUpdate&>(member) = update;
  member.state_entered_at = now;
  members_.emplace(update.name, member);
  update_not_alive(member);
  // A random position keeps members from all probing a new one at the same time.
  const auto position = random_() % (probe_order_.size() + 1);
  probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position), update.name);
  ++revision_;
  queue_.push(update);
}

void MembershipProtocol::expire_members(Time now) {
  const Duration timeout = suspicion_timeout();
  for (const auto& name : std::vector(not_alive_.begin(), not_alive_.end())) {
    Member& member = members_.at(name);
    if (member.state == MemberState::kSuspect && now - member.state_entered_at >= timeout)
      set_state(now, member, MemberState::kDead);
    if (!is_dead_or_left(member.state) || now - member.state_entered_at < settings_.dead_retention)
      continue;
    round_trips_.erase(name);
    members_.erase(name);
    not_alive_.erase(name);
  }
}

// ---- sending

// Returns the updates for a message to the member `to`. If that member is suspected or dead, it
// receives the update that says so first, so that it can refute it.
std::vector<MemberUpdate> MembershipProtocol::updates_for(const std::string& to) {
  const int max_transmits =
      static_cast<int>(std::ceil(kTransmitMultiplier * log2_of(members_.size() + 1)));
  const Member* receiver = to == name_ ? nullptr : find(to);
  if (receiver && receiver->state == MemberState::kAlive) receiver = nullptr;
  return queue_.take(settings_.max_updates, max_transmits, receiver);
}

void MembershipProtocol::send(const std::string& endpoint, GossipMessage message,
                              const std::string& to) {
  if (message.updates.empty()) message.updates = updates_for(to);
  messages_.push_back({endpoint, std::move(message)});
}

void MembershipProtocol::send_full_state(const std::string& endpoint) {
  GossipMessage page;
  for (const auto& [name, member] : members_) {
    page.updates.push_back(member);
    if (page.updates.size() < settings_.max_updates) continue;
    messages_.push_back({endpoint, std::exchange(page, {})});
  }
  if (!page.updates.empty()) messages_.push_back({endpoint, std::move(page)});
}

void MembershipProtocol::send_gossip(std::size_t receivers) {
  for (const auto& name : random_alive_members(receivers, {}))
    send(members_.at(name).endpoint, {Kind::kGossip, 0, {}, {}}, name);
}

std::vector<std::string> MembershipProtocol::random_alive_members(std::size_t max,
                                                                  const std::string& except) {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_)
    if (name != name_ && name != except && member.state == MemberState::kAlive)
      names.push_back(name);
  std::shuffle(names.begin(), names.end(), random_);
  if (names.size() > max) names.resize(max);
  return names;
}

// ---- messages

void MembershipProtocol::on_message(Time now, const std::string& from, const std::string& endpoint,
                                    const GossipMessage& message) {
  if (is_superseded_) return;
  for (const MemberUpdate& update : message.updates) apply(now, update);
  switch (message.kind) {
    case Kind::kPing:
      if (!has_left_) send(endpoint, {Kind::kAck, message.number, {}, {}}, from);
      return;
    case Kind::kAck:
      return on_ack(now, from, message);
    case Kind::kPingRequest:
      return on_ping_request(now, endpoint, message);
    case Kind::kJoin:
      return send_full_state(endpoint);
    case Kind::kGossip:
      return;
  }
}

void MembershipProtocol::on_ack(Time now, const std::string& from, const GossipMessage& message) {
  if (const auto relayed = relayed_pings_.extract(message.number)) {
    const RelayedPing& ping = relayed.mapped();
    messages_.push_back({ping.requester_endpoint, {Kind::kAck, ping.requester_number, from, {}}});
    return;
  }
  if (probe_ && probe_->number == message.number) {
    if (!probe_->is_indirect) record_round_trip(probe_->name, now - probe_->sent_at);
    return end_probe(now, true);
  }
  on_late_ack(now, message.number);
}

// A late answer shows that the member is slow and not dead: its probe timeout grows, and its
// suspicion is restarted. Only its own refutation ends the suspicion for all members.
void MembershipProtocol::on_late_ack(Time now, std::uint64_t number) {
  const auto late = late_probes_.extract(number);
  if (!late) return;
  const std::string& name = late.mapped().name;
  record_round_trip(name, now - late.mapped().sent_at);
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.state != MemberState::kSuspect) return;
  it->second.state_entered_at = now;
  send(it->second.endpoint, {Kind::kGossip, 0, {}, {}}, name);
}

void MembershipProtocol::on_ping_request(Time now, const std::string& endpoint,
                                         const GossipMessage& message) {
  const Member* target = find(message.target);
  if (!target || has_left_ || relayed_pings_.size() >= kMaxRelayedPings) return;
  const auto number = next_number_++;
  relayed_pings_[number] = {endpoint, message.number, now + settings_.probe_period * 2};
  send(target->endpoint, {Kind::kPing, number, {}, {}}, message.target);
}

// ---- probes

// Returns the next member in a random order that visits each member once per round. Returns nullopt
// if there are no other members, or if only dead members or members that have left remain in the
// round.
std::optional<std::string> MembershipProtocol::next_to_probe() {
  if (probe_order_.empty()) {
    for (const auto& [name, member] : members_)
      if (name != name_ && !is_dead_or_left(member.state)) probe_order_.push_back(name);
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
  while (!probe_order_.empty()) {
    const std::string name = probe_order_.back();
    probe_order_.pop_back();
    const Member* member = find(name);
    if (member && !is_dead_or_left(member->state)) return name;
  }
  return std::nullopt;
}

void MembershipProtocol::start_probe(Time now) {
  const auto name = next_to_probe();
  if (!name) return;
  const Duration period = settings_.probe_period * (1 + local_health_);
  Probe probe;
  probe.name = *name;
  probe.number = next_number_++;
  probe.sent_at = now;
  probe.direct_until = now + std::min(probe_timeout(*name), period);
  probe.until = probe.direct_until + period;
  probe_ = probe;
  send(members_.at(*name).endpoint, {Kind::kPing, probe.number, {}, {}}, *name);
}

void MembershipProtocol::probe_indirectly() {
  probe_->is_indirect = true;
  late_probes_[probe_->number] = {probe_->name, probe_->sent_at};
  if (late_probes_.size() > kMaxLateProbes) late_probes_.erase(late_probes_.begin());
  const auto relays =
      random_alive_members(static_cast<std::size_t>(settings_.indirect_probes), probe_->name);
  for (const auto& name : relays)
    send(members_.at(name).endpoint, {Kind::kPingRequest, probe_->number, probe_->name, {}}, name);
}

void MembershipProtocol::end_probe(Time now, bool answered) {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (answered) {
    local_health_ = std::max(0, local_health_ - 1);
    return;
  }
  local_health_ = std::min(kMaxLocalHealth, local_health_ + 1);
  const auto it = members_.find(probe.name);
  if (it == members_.end() || it->second.state != MemberState::kAlive) return;
  set_state(now, it->second, MemberState::kSuspect);
  // Notifies the member of the suspicion immediately, so that it can refute it.
  send(it->second.endpoint, {Kind::kGossip, 0, {}, {}}, probe.name);
}

// ---- time

// Sends a join message to all seeds if no other live member is known. Otherwise sends one, with a
// probability of one half, to each seed that is not alive: it may have restarted and know no
// member.
void MembershipProtocol::join(Time now) {
  next_join_at_ = now + kJoinInterval;
  std::set<std::string> live_endpoints;
  for (const auto& [name, member] : members_)
    if (!is_dead_or_left(member.state)) live_endpoints.insert(member.endpoint);
  const bool is_alone = live_endpoints.size() == 1;
  for (const auto& seed : settings_.seeds)
    if (live_endpoints.count(seed) == 0 && (is_alone || random_() % 2 == 0))
      messages_.push_back({seed, {Kind::kJoin, 0, {}, {self()}}});
}

void MembershipProtocol::request_full_sync(Time now) {
  next_full_sync_at_ = now + settings_.full_sync_interval;
  for (const auto& name : random_alive_members(1, {}))
    messages_.push_back({members_.at(name).endpoint, {Kind::kJoin, 0, {}, {self()}}});
}

void MembershipProtocol::on_timer(Time now) {
  if (has_left_ || is_superseded_) return;
  if (now >= next_join_at_) join(now);
  if (now >= next_full_sync_at_) request_full_sync(now);
  if (probe_ && !probe_->is_indirect && now >= probe_->direct_until) probe_indirectly();
  if (probe_ && now >= probe_->until) end_probe(now, false);
  if (!probe_ && now >= next_probe_at_) {
    next_probe_at_ = now + settings_.probe_period;
    start_probe(now);
  }
  std::erase_if(relayed_pings_, [now](const auto& ping) { return ping.second.until <= now; });
  expire_members(now);
}

Time MembershipProtocol::next_timer_at() const {
  if (has_left_ || is_superseded_) return Time::max();
  Time first = std::min({next_join_at_, next_full_sync_at_, probe_ ? Time::max() : next_probe_at_});
  if (probe_) first = std::min(first, probe_->is_indirect ? probe_->until : probe_->direct_until);
  if (not_alive_.empty()) return first;
  const Duration timeout = suspicion_timeout();
  for (const auto& name : not_alive_) {
    const Member& member = members_.at(name);
    if (member.state == MemberState::kSuspect)
      first = std::min(first, member.state_entered_at + timeout);
  }
  return first;
}

// ---- this instance

void MembershipProtocol::set_meta(Time now, const std::string& meta) {
  Member& member = self();
  if (member.meta == meta || has_left_) return;
  member.meta = meta;
  ++member.sequence;
  member.state_entered_at = now;
  ++revision_;
  queue_.push(member);
  // Other members base decisions on this data, so some of them are notified immediately.
  send_gossip(static_cast<std::size_t>(settings_.indirect_probes));
}

void MembershipProtocol::leave(Time now) {
  if (std::exchange(has_left_, true)) return;
  Member& member = self();
  ++member.sequence;
  member.state = MemberState::kLeft;
  member.state_entered_at = now;
  queue_.push(member);
  send_gossip(kLeaveReceivers);
}

}  // namespace balancer::membership

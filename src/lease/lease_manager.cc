#include "lease/lease_manager.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

// Interval of the periodic review of the assignment. Needed because instances become settled, and
// moves become possible, by the passage of time alone.
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);
// Interval at which an invitation is repeated until the successor announces the address.
constexpr Duration kInviteRetryInterval = std::chrono::milliseconds(50);

}  // namespace

LeaseManager::LeaseManager(const LeaseManagerSettings& settings, InstanceId self,
                           const VoterSet& voters, std::uint64_t seed, Time now)
    : settings_(settings), self_(std::move(self)), next_review_at_(now) {
  for (const AddressPreference& preference : settings_.addresses)
    lease_holders_.emplace(preference.address, LeaseHolder(preference.address, self_,
                                                           settings_.times, voters, ++seed, now));
}

// ---- events

void LeaseManager::on_peers(Time now, const std::vector<Peer>& peers) {
  std::map<std::string, Peer> by_name;
  for (const Peer& peer : peers) by_name.emplace(peer.name, peer);
  peers_ = std::move(by_name);
  peers_changed_ = true;
  review(now);
}

void LeaseManager::on_eligible(Time now, bool eligible, std::string_view reason) {
  if (eligible == eligible_) return;
  eligible_ = eligible;
  eligible_since_ = now;
  ineligible_reason_ = reason;
  peers_changed_ = true;
  review(now);
}

void LeaseManager::on_reply(Time now, const std::string& voter, const VoteReply& reply) {
  const auto it = lease_holders_.find(reply.address);
  if (it != lease_holders_.end()) it->second.on_reply(now, voter, reply);
}

// An invitation is a hint; the voters decide whether the address is free.
void LeaseManager::on_transfer_message(Time now, const std::string& from,
                                       const TransferMessage& message) {
  const auto it = lease_holders_.find(message.address);
  if (it == lease_holders_.end()) return;
  LeaseHolder& lease_holder = it->second;
  if (message.kind == TransferMessage::Kind::kInvite) {
    if (!eligible_ || lease_holder.should_listen()) return;
    invited_by_[message.address] = from;
    return lease_holder.on_invitation(now, message.term);
  }
  const auto handover = handovers_.find(message.address);
  if (handover != handovers_.end() && handover->second.to == from &&
      message.term > lease_holder.term())
    lease_holder.on_successor_announces(now);
}

void LeaseManager::on_announced(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  const auto inviter = invited_by_.extract(address);
  if (it == lease_holders_.end() || inviter.empty() || !it->second.holds(now)) return;
  transfers_.push_back(
      {inviter.mapped(), {TransferMessage::Kind::kAnnounces, address, it->second.term()}});
}

void LeaseManager::on_withdrawn(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  if (it == lease_holders_.end()) return;
  it->second.on_withdrawn(now);
  review(now);
}

void LeaseManager::on_announcement_failed(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  if (it != lease_holders_.end()) it->second.on_announcement_failed(now);
}

void LeaseManager::on_timer(Time now) {
  if (now >= next_review_at_) {
    next_review_at_ = now + kReviewInterval;
    review(now);
  }
  for (auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.next_timer_at() <= now) lease_holder.on_timer(now);
  retry_invitations(now);
}

Time LeaseManager::next_timer_at() const {
  Time first = next_review_at_;
  for (const auto& [address, lease_holder] : lease_holders_)
    first = std::min(first, lease_holder.next_timer_at());
  for (const auto& [address, handover] : handovers_) first = std::min(first, handover.retry_at);
  return first;
}

// ---- commands

std::string LeaseManager::move(Time now, const std::string& address, const std::string& to) {
  const auto it = lease_holders_.find(address);
  if (it == lease_holders_.end()) return "unknown service address " + address;
  if (!it->second.holds(now)) return "this instance does not hold the address";
  if (to == self_.name) return "this instance already holds the address";
  std::string successor = to;
  if (successor.empty()) {
    auto others = eligible_instances(now);
    std::erase_if(others, [this](const EligibleInstance& i) { return i.name == self_.name; });
    if (others.empty()) return "no other instance is eligible to hold the address";
    successor = assign_addresses(settings_.addresses, others, {}).at(address).front();
  }
  const auto peer = peers_.find(successor);
  if (peer == peers_.end() || !peer->second.eligible)
    return successor + " is not eligible to hold the address";
  last_moved_at_[address] = now;
  hand_over(now, address, it->second, successor);
  return {};
}

void LeaseManager::leave(Time now) {
  is_leaving_ = true;
  eligible_ = false;
  peers_changed_ = true;
  ineligible_reason_ = "this instance is shutting down";
  review(now);
}

// ---- the assignment

std::vector<EligibleInstance> LeaseManager::eligible_instances(Time now) const {
  std::vector<EligibleInstance> all;
  const auto is_settled = [&](Time since) { return now - since >= settings_.settle_time; };
  if (eligible_) all.push_back({self_.name, is_settled(eligible_since_)});
  for (const auto& [name, peer] : peers_)
    if (peer.eligible) all.push_back({name, is_settled(peer.eligible_since)});
  return all;
}

// Returns the holder of each address, by address. If two instances announce an address, the one
// with the newer term holds it.
std::map<std::string, std::string> LeaseManager::known_holders() const {
  std::map<std::string, std::string> holders;
  std::map<std::string, Term> newest;
  for (const auto& [name, peer] : peers_)
    for (const auto& [address, term] : peer.held_terms)
      if (lease_holders_.count(address) > 0 && term >= newest[address]) {
        newest[address] = term;
        holders[address] = name;
      }
  for (const auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.should_listen() && lease_holder.term() >= newest[address])
      holders[address] = self_.name;
  return holders;
}

void LeaseManager::update_next_settled_at(Time now, bool eligible, Time since) {
  if (eligible && now - since < settings_.settle_time)
    next_settled_at_ = std::min(next_settled_at_, since + settings_.settle_time);
}

void LeaseManager::update_assignment(Time now, std::map<std::string, std::string> holders) {
  bool is_current = !assignment_.empty() && holders == assigned_holders_;
  if (std::exchange(peers_changed_, false) || now >= next_settled_at_) {
    auto instances = eligible_instances(now);
    is_current = is_current && instances == assigned_instances_;
    assigned_instances_ = std::move(instances);
    next_settled_at_ = Time::max();
    update_next_settled_at(now, eligible_, eligible_since_);
    for (const auto& [name, peer] : peers_)
      update_next_settled_at(now, peer.eligible, peer.eligible_since);
  }
  if (is_current) return;
  assigned_holders_ = std::move(holders);
  assignment_ = assign_addresses(settings_.addresses, assigned_instances_, assigned_holders_);
}

// Compares the held addresses with the assignment, and runs for election or hands over accordingly.
void LeaseManager::review(Time now) {
  if (lease_holders_.empty()) return;
  update_assignment(now, known_holders());
  for (auto& [address, lease_holder] : lease_holders_) {
    // A hand-over in progress ends with the successor's message or with the overlap.
    if (lease_holder.state() == LeaseHolder::State::kHandingOver) continue;
    const std::vector<std::string>& ranking = assignment_.at(address);
    if (lease_holder.state() == LeaseHolder::State::kHolder) {
      review_held(now, address, lease_holder, ranking);
      continue;
    }
    const auto rank = std::find(ranking.begin(), ranking.end(), self_.name) - ranking.begin();
    const bool is_wanted = eligible_ && rank < settings_.max_candidates;
    lease_holder.set_candidacy(now, is_wanted, static_cast<int>(rank));
  }
}

void LeaseManager::review_held(Time now, const std::string& address, LeaseHolder& lease_holder,
                               const std::vector<std::string>& ranking) {
  if (!eligible_) {
    const auto successor = std::find_if(ranking.begin(), ranking.end(),
                                        [this](const auto& name) { return name != self_.name; });
    if (successor != ranking.end()) {
      hand_over(now, address, lease_holder, *successor);
    } else if (is_leaving_) {
      lease_holder.release(now, ineligible_reason_);
    }
    // Without a successor, an ineligible instance that is not leaving keeps the address, because an
    // ineligible holder is better than none.
    return;
  }
  if (ranking.empty() || ranking.front() == self_.name) return;
  const auto last_move = last_moved_at_.find(address);
  if (last_move != last_moved_at_.end() && now - last_move->second < settings_.min_move_interval)
    return;
  last_moved_at_[address] = now;
  hand_over(now, address, lease_holder, ranking.front());
}

// ---- hand-over

void LeaseManager::hand_over(Time now, const std::string& address, LeaseHolder& lease_holder,
                             const std::string& to) {
  lease_holder.hand_over(now, to);
  if (lease_holder.state() != LeaseHolder::State::kHandingOver) return;
  transfers_.push_back({to, {TransferMessage::Kind::kInvite, address, lease_holder.term()}});
  handovers_[address] = {to, now + kInviteRetryInterval};
}

void LeaseManager::retry_invitations(Time now) {
  std::erase_if(handovers_, [this](const auto& entry) {
    return lease_holders_.at(entry.first).state() != LeaseHolder::State::kHandingOver;
  });
  for (auto& [address, handover] : handovers_) {
    if (now < handover.retry_at) continue;
    const Term term = lease_holders_.at(address).term();
    transfers_.push_back({handover.to, {TransferMessage::Kind::kInvite, address, term}});
    handover.retry_at = now + kInviteRetryInterval;
  }
}

// ---- output and state

std::vector<LeaseHolder::OutgoingVoteRequest> LeaseManager::take_requests() {
  std::vector<LeaseHolder::OutgoingVoteRequest> all;
  for (auto& [address, lease_holder] : lease_holders_)
    for (auto& request : lease_holder.take_requests()) all.push_back(std::move(request));
  return all;
}

std::vector<RouteAction> LeaseManager::take_route_actions() {
  std::vector<RouteAction> all;
  for (auto& [address, lease_holder] : lease_holders_)
    for (auto& action : lease_holder.take_route_actions()) all.push_back(std::move(action));
  return all;
}

const LeaseHolder* LeaseManager::lease_holder(const std::string& address) const {
  const auto it = lease_holders_.find(address);
  return it == lease_holders_.end() ? nullptr : &it->second;
}

std::map<std::string, Term> LeaseManager::held_terms() const {
  std::map<std::string, Term> all;
  for (const auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.should_listen()) all[address] = lease_holder.term();
  return all;
}

bool LeaseManager::is_idle() const {
  using State = LeaseHolder::State;
  return std::all_of(lease_holders_.begin(), lease_holders_.end(), [](const auto& entry) {
    const State state = entry.second.state();
    return state == State::kIdle || state == State::kPartitioned;
  });
}

}  // namespace balancer::lease

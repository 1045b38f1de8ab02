#include "lease/lease_manager.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

// What others hold and how settled they are is looked at again this often, where nothing else calls
// for it.
constexpr Duration kLook = std::chrono::milliseconds(100);
// An invitation may be lost.
constexpr Duration kInviteAgain = std::chrono::milliseconds(50);

}  // namespace

LeaseManager::LeaseManager(const LeaseManagerSettings& settings, Holder self, const Voters& voters,
                           std::uint64_t seed, Time now)
    : settings_(settings), self_(std::move(self)), look_at_(now) {
  for (const Wanted& w : settings_.addresses)
    lease_holders_.emplace(w.address,
                           LeaseHolder(w.address, self_, settings_.times, voters, ++seed, now));
}

void LeaseManager::on_peers(Time now, const std::vector<Peer>& peers) {
  std::map<std::string, Peer> known;
  for (const Peer& p : peers) known.emplace(p.name, p);
  peers_ = std::move(known);
  peers_changed_ = true;
  decide(now);
}

void LeaseManager::on_eligible(Time now, bool eligible, std::string_view why) {
  if (eligible == eligible_) return;
  eligible_ = eligible;
  able_since_ = now;
  why_not_ = why;
  peers_changed_ = true;
  decide(now);
}

void LeaseManager::leave(Time now) {
  leaving_ = true;
  eligible_ = false;
  peers_changed_ = true;
  why_not_ = "this instance ends";
  decide(now);
}

std::string LeaseManager::move(Time now, const std::string& address, const std::string& to) {
  const auto it = lease_holders_.find(address);
  if (it == lease_holders_.end()) return "there is no address " + address;
  if (!it->second.holds(now)) return "it is not held here";
  if (to == self_.name) return "it is held here already";
  std::string best = to;
  if (best.empty()) {
    auto others = able_instances(now);
    std::erase_if(others, [this](const EligibleInstance& a) { return a.name == self_.name; });
    const auto order = assign_addresses(settings_.addresses, others, {});
    if (others.empty()) return "nobody else is able to hold it";
    best = order.at(address).front();
  }
  const auto peer = peers_.find(best);
  if (peer == peers_.end() || !peer->second.eligible) return best + " is not able to hold it";
  moved_[address] = now;
  hand_over(now, address, it->second, best);
  return {};
}

std::vector<EligibleInstance> LeaseManager::able_instances(Time now) const {
  std::vector<EligibleInstance> all;
  const auto settled = [&](Time since) { return now - since >= settings_.settle; };
  if (eligible_) all.push_back({self_.name, settled(able_since_)});
  for (const auto& [name, peer] : peers_)
    if (peer.eligible) all.push_back({name, settled(peer.eligible_since)});
  return all;
}

void LeaseManager::deal_again(Time now, std::map<std::string, std::string> holders) {
  bool same = !dealt_.empty() && holders == dealt_holders_;
  if (std::exchange(peers_changed_, false) || now >= settles_at_) {
    auto eligible = able_instances(now);
    same = same && eligible == dealt_able_;
    dealt_able_ = std::move(eligible);
    settles_at_ = Time::max();
    const auto note = [&](bool able_now, Time since) {
      if (able_now && now - since < settings_.settle)
        settles_at_ = std::min(settles_at_, since + settings_.settle);
    };
    note(eligible_, able_since_);
    for (const auto& [name, peer] : peers_) note(peer.eligible, peer.eligible_since);
  }
  if (same) return;
  dealt_holders_ = std::move(holders);
  dealt_ = assign_addresses(settings_.addresses, dealt_able_, dealt_holders_);
}

void LeaseManager::decide(Time now) {
  if (lease_holders_.empty()) return;
  std::map<std::string, std::string> holders;
  std::map<std::string, Term> newest;
  for (const auto& [name, peer] : peers_)
    for (const auto& [address, term] : peer.holds)
      if (lease_holders_.count(address) > 0 && term >= newest[address]) {
        newest[address] = term;
        holders[address] = name;
      }
  for (const auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.listens() && lease_holder.term() >= newest[address])
      holders[address] = self_.name;
  deal_again(now, std::move(holders));
  for (auto& [address, lease_holder] : lease_holders_) {
    const auto& names = dealt_.at(address);
    // The successor says when it announces; what gossip has of it comes from its claim.
    if (lease_holder.state() == LeaseHolder::State::kHandingOver) continue;
    const auto successor =
        std::find_if(names.begin(), names.end(), [this](const auto& n) { return n != self_.name; });
    if (lease_holder.state() == LeaseHolder::State::kHolder) {
      if (!eligible_) {
        if (successor != names.end()) {
          hand_over(now, address, lease_holder, *successor);
        } else if (leaving_) {
          lease_holder.release(now, why_not_);
        }
        // One that is alone and not well goes on: an address nobody answers for is no better.
      } else if (!names.empty() && names.front() != self_.name) {
        const auto moved = moved_.find(address);
        if (moved == moved_.end() || now - moved->second >= settings_.between_moves) {
          moved_[address] = now;
          hand_over(now, address, lease_holder, names.front());
        }
      }
      continue;
    }
    const auto place = std::find(names.begin(), names.end(), self_.name) - names.begin();
    const bool wanted = eligible_ && place < settings_.candidates;
    lease_holder.want(now, wanted, static_cast<int>(place));
  }
}

void LeaseManager::hand_over(Time now, const std::string& address, LeaseHolder& lease_holder,
                             const std::string& to) {
  lease_holder.hand_over(now, to);
  if (lease_holder.state() != LeaseHolder::State::kHandingOver) return;
  tells_.push_back({to, {TransferMessage::Kind::kInvite, address, lease_holder.term()}});
  handing_[address] = {to, now + kInviteAgain};
}

// An invitation is a hint: whether the address is free the voters say.
void LeaseManager::on_tell(Time now, const std::string& from, const TransferMessage& tell) {
  const auto it = lease_holders_.find(tell.address);
  if (it == lease_holders_.end()) return;
  LeaseHolder& lease_holder = it->second;
  if (tell.kind == TransferMessage::Kind::kInvite) {
    if (!eligible_ || lease_holder.listens()) return;
    invited_by_[tell.address] = from;
    lease_holder.invite(now, tell.term);
  } else if (const auto out = handing_.find(tell.address);
             out != handing_.end() && out->second.to == from && tell.term > lease_holder.term()) {
    lease_holder.on_successor_announces(now);
  }
}

void LeaseManager::on_announced(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  const auto by = invited_by_.extract(address);
  if (it == lease_holders_.end() || by.empty() || !it->second.holds(now)) return;
  tells_.push_back({by.mapped(), {TransferMessage::Kind::kAnnounces, address, it->second.term()}});
}

void LeaseManager::on_reply(Time now, const std::string& voter, const VoteReply& reply) {
  const auto it = lease_holders_.find(reply.address);
  if (it != lease_holders_.end()) it->second.on_reply(now, voter, reply);
}

void LeaseManager::on_withdrawn(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  if (it == lease_holders_.end()) return;
  it->second.on_withdrawn(now);
  decide(now);
}

void LeaseManager::on_claim_failed(Time now, const std::string& address) {
  const auto it = lease_holders_.find(address);
  if (it != lease_holders_.end()) it->second.on_claim_failed(now);
}

void LeaseManager::on_timer(Time now) {
  if (now >= look_at_) {
    look_at_ = now + kLook;
    decide(now);
  }
  for (auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.next() <= now) lease_holder.on_timer(now);
  for (auto it = handing_.begin(); it != handing_.end();) {
    const LeaseHolder& lease_holder = lease_holders_.at(it->first);
    if (lease_holder.state() != LeaseHolder::State::kHandingOver) {
      it = handing_.erase(it);
      continue;
    }
    if (now >= it->second.again_at) {
      tells_.push_back(
          {it->second.to, {TransferMessage::Kind::kInvite, it->first, lease_holder.term()}});
      it->second.again_at = now + kInviteAgain;
    }
    ++it;
  }
}

Time LeaseManager::next() const {
  Time first = look_at_;
  for (const auto& [address, lease_holder] : lease_holders_)
    first = std::min(first, lease_holder.next());
  for (const auto& [address, out] : handing_) first = std::min(first, out.again_at);
  return first;
}

std::vector<LeaseHolder::Send> LeaseManager::take_sends() {
  std::vector<LeaseHolder::Send> all;
  for (auto& [address, lease_holder] : lease_holders_)
    for (auto& s : lease_holder.take_sends()) all.push_back(std::move(s));
  return all;
}

std::vector<LeaseManager::RouteAction> LeaseManager::take_route_actions() {
  std::vector<RouteAction> all;
  for (auto& [address, lease_holder] : lease_holders_)
    for (const auto& c : lease_holder.take_route_actions()) all.push_back({address, c});
  return all;
}

const LeaseHolder* LeaseManager::lease_holder(const std::string& address) const {
  const auto it = lease_holders_.find(address);
  return it == lease_holders_.end() ? nullptr : &it->second;
}

std::map<std::string, Term> LeaseManager::holds() const {
  std::map<std::string, Term> all;
  for (const auto& [address, lease_holder] : lease_holders_)
    if (lease_holder.listens()) all[address] = lease_holder.term();
  return all;
}

bool LeaseManager::idle() const {
  return std::all_of(lease_holders_.begin(), lease_holders_.end(), [](const auto& t) {
    using State = LeaseHolder::State;
    return t.second.state() == State::kIdle || t.second.state() == State::kCutOff;
  });
}

}  // namespace balancer::lease

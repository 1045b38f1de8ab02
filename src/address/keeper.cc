#include "address/keeper.h"

#include <algorithm>
#include <utility>

namespace silverpin::address {
namespace {

// What others hold and how settled they are is looked at again this often, where nothing else calls
// for it.
constexpr Duration kLook = std::chrono::milliseconds(100);
// An invitation may be lost.
constexpr Duration kInviteAgain = std::chrono::milliseconds(50);

}  // namespace

Keeper::Keeper(const KeeperSettings& settings, Holder self, const Voters& voters,
               std::uint64_t seed, Time now)
    : settings_(settings), self_(std::move(self)), look_at_(now) {
  for (const Wanted& w : settings_.addresses)
    tenures_.emplace(w.address, Tenure(w.address, self_, settings_.times, voters, ++seed, now));
}

void Keeper::on_peers(Time now, const std::vector<Peer>& peers) {
  std::map<std::string, Peer> known;
  for (const Peer& p : peers) known.emplace(p.name, p);
  peers_ = std::move(known);
  peers_changed_ = true;
  decide(now);
}

void Keeper::on_able(Time now, bool able, std::string_view why) {
  if (able == able_) return;
  able_ = able;
  able_since_ = now;
  why_not_ = why;
  peers_changed_ = true;
  decide(now);
}

void Keeper::leave(Time now) {
  leaving_ = true;
  able_ = false;
  peers_changed_ = true;
  why_not_ = "this instance ends";
  decide(now);
}

std::string Keeper::move(Time now, const std::string& address, const std::string& to) {
  const auto it = tenures_.find(address);
  if (it == tenures_.end()) return "there is no address " + address;
  if (!it->second.holds(now)) return "it is not held here";
  if (to == self_.name) return "it is held here already";
  std::string best = to;
  if (best.empty()) {
    auto others = able_instances(now);
    std::erase_if(others, [this](const Able& a) { return a.name == self_.name; });
    const auto order = deal(settings_.addresses, others, {});
    if (others.empty()) return "nobody else is able to hold it";
    best = order.at(address).front();
  }
  const auto peer = peers_.find(best);
  if (peer == peers_.end() || !peer->second.able) return best + " is not able to hold it";
  moved_[address] = now;
  hand_over(now, address, it->second, best);
  return {};
}

std::vector<Able> Keeper::able_instances(Time now) const {
  std::vector<Able> all;
  const auto settled = [&](Time since) { return now - since >= settings_.settle; };
  if (able_) all.push_back({self_.name, settled(able_since_)});
  for (const auto& [name, peer] : peers_)
    if (peer.able) all.push_back({name, settled(peer.able_since)});
  return all;
}

void Keeper::deal_again(Time now, std::map<std::string, std::string> holders) {
  bool same = !dealt_.empty() && holders == dealt_holders_;
  if (std::exchange(peers_changed_, false) || now >= settles_at_) {
    auto able = able_instances(now);
    same = same && able == dealt_able_;
    dealt_able_ = std::move(able);
    settles_at_ = Time::max();
    const auto note = [&](bool able_now, Time since) {
      if (able_now && now - since < settings_.settle)
        settles_at_ = std::min(settles_at_, since + settings_.settle);
    };
    note(able_, able_since_);
    for (const auto& [name, peer] : peers_) note(peer.able, peer.able_since);
  }
  if (same) return;
  dealt_holders_ = std::move(holders);
  dealt_ = deal(settings_.addresses, dealt_able_, dealt_holders_);
}

void Keeper::decide(Time now) {
  if (tenures_.empty()) return;
  std::map<std::string, std::string> holders;
  std::map<std::string, Term> newest;
  for (const auto& [name, peer] : peers_)
    for (const auto& [address, term] : peer.holds)
      if (tenures_.count(address) > 0 && term >= newest[address]) {
        newest[address] = term;
        holders[address] = name;
      }
  for (const auto& [address, tenure] : tenures_)
    if (tenure.listens() && tenure.term() >= newest[address]) holders[address] = self_.name;
  deal_again(now, std::move(holders));
  for (auto& [address, tenure] : tenures_) {
    const auto& names = dealt_.at(address);
    // The successor says when it announces; what gossip has of it comes from its claim.
    if (tenure.state() == Tenure::State::kHandingOver) continue;
    const auto successor =
        std::find_if(names.begin(), names.end(), [this](const auto& n) { return n != self_.name; });
    if (tenure.state() == Tenure::State::kHolder) {
      if (!able_) {
        if (successor != names.end()) {
          hand_over(now, address, tenure, *successor);
        } else if (leaving_) {
          tenure.release(now, why_not_);
        }
        // One that is alone and not well goes on: an address nobody answers for is no better.
      } else if (!names.empty() && names.front() != self_.name) {
        const auto moved = moved_.find(address);
        if (moved == moved_.end() || now - moved->second >= settings_.between_moves) {
          moved_[address] = now;
          hand_over(now, address, tenure, names.front());
        }
      }
      continue;
    }
    const auto place = std::find(names.begin(), names.end(), self_.name) - names.begin();
    const bool wanted = able_ && place < settings_.candidates;
    tenure.want(now, wanted, static_cast<int>(place));
  }
}

void Keeper::hand_over(Time now, const std::string& address, Tenure& tenure,
                       const std::string& to) {
  tenure.hand_over(now, to);
  if (tenure.state() != Tenure::State::kHandingOver) return;
  tells_.push_back({to, {Tell::Kind::kInvite, address, tenure.term()}});
  handing_[address] = {to, now + kInviteAgain};
}

// An invitation is a hint: whether the address is free the voters say.
void Keeper::on_tell(Time now, const std::string& from, const Tell& tell) {
  const auto it = tenures_.find(tell.address);
  if (it == tenures_.end()) return;
  Tenure& tenure = it->second;
  if (tell.kind == Tell::Kind::kInvite) {
    if (!able_ || tenure.listens()) return;
    invited_by_[tell.address] = from;
    tenure.invite(now, tell.term);
  } else if (const auto out = handing_.find(tell.address);
             out != handing_.end() && out->second.to == from && tell.term > tenure.term()) {
    tenure.on_successor_announces(now);
  }
}

void Keeper::on_announced(Time now, const std::string& address) {
  const auto it = tenures_.find(address);
  const auto by = invited_by_.extract(address);
  if (it == tenures_.end() || by.empty() || !it->second.holds(now)) return;
  tells_.push_back({by.mapped(), {Tell::Kind::kAnnounces, address, it->second.term()}});
}

void Keeper::on_reply(Time now, const std::string& voter, const Reply& reply) {
  const auto it = tenures_.find(reply.address);
  if (it != tenures_.end()) it->second.on_reply(now, voter, reply);
}

void Keeper::on_withdrawn(Time now, const std::string& address) {
  const auto it = tenures_.find(address);
  if (it == tenures_.end()) return;
  it->second.on_withdrawn(now);
  decide(now);
}

void Keeper::on_claim_failed(Time now, const std::string& address) {
  const auto it = tenures_.find(address);
  if (it != tenures_.end()) it->second.on_claim_failed(now);
}

void Keeper::on_timer(Time now) {
  if (now >= look_at_) {
    look_at_ = now + kLook;
    decide(now);
  }
  for (auto& [address, tenure] : tenures_)
    if (tenure.next() <= now) tenure.on_timer(now);
  for (auto it = handing_.begin(); it != handing_.end();) {
    const Tenure& tenure = tenures_.at(it->first);
    if (tenure.state() != Tenure::State::kHandingOver) {
      it = handing_.erase(it);
      continue;
    }
    if (now >= it->second.again_at) {
      tells_.push_back({it->second.to, {Tell::Kind::kInvite, it->first, tenure.term()}});
      it->second.again_at = now + kInviteAgain;
    }
    ++it;
  }
}

Time Keeper::next() const {
  Time first = look_at_;
  for (const auto& [address, tenure] : tenures_) first = std::min(first, tenure.next());
  for (const auto& [address, out] : handing_) first = std::min(first, out.again_at);
  return first;
}

std::vector<Tenure::Send> Keeper::take_sends() {
  std::vector<Tenure::Send> all;
  for (auto& [address, tenure] : tenures_)
    for (auto& s : tenure.take_sends()) all.push_back(std::move(s));
  return all;
}

std::vector<Keeper::Carry> Keeper::take_carries() {
  std::vector<Carry> all;
  for (auto& [address, tenure] : tenures_)
    for (const auto& c : tenure.take_carries()) all.push_back({address, c});
  return all;
}

const Tenure* Keeper::tenure(const std::string& address) const {
  const auto it = tenures_.find(address);
  return it == tenures_.end() ? nullptr : &it->second;
}

std::map<std::string, Term> Keeper::holds() const {
  std::map<std::string, Term> all;
  for (const auto& [address, tenure] : tenures_)
    if (tenure.listens()) all[address] = tenure.term();
  return all;
}

bool Keeper::idle() const {
  return std::all_of(tenures_.begin(), tenures_.end(), [](const auto& t) {
    using State = Tenure::State;
    return t.second.state() == State::kIdle || t.second.state() == State::kCutOff;
  });
}

}  // namespace silverpin::address

#include "group/group_node.h"

#include <algorithm>

namespace balancer::group {
namespace {

using lease::LeaseHolder;
using lease::VoteReply;
using lease::VoteRequest;
using membership::State;
using std::chrono::milliseconds;

constexpr std::size_t kMaxTold = 64;
constexpr Duration kMendAgain = std::chrono::seconds(1);

membership::Update self_of(const GroupNodeSettings& s) {
  membership::Update me;
  me.name = s.name;
  me.endpoint = s.endpoint;
  me.life = s.life;
  me.meta = encode(Meta{false, s.founding.has(s.name), s.founding.version, {}});
  return me;
}

}  // namespace

GroupNode::GroupNode(const GroupNodeSettings& settings,
                     const std::optional<lease::VoterRecord>& remembered, Memory& memory,
                     std::uint64_t seed, Time now)
    : settings_(settings),
      memory_(memory),
      group_(settings.group, self_of(settings), seed, now),
      lease_manager_(settings.lease_manager, {settings.name, settings.life},
                     remembered ? remembered->voters : settings.founding, seed + 1, now),
      voters_(remembered ? remembered->voters : settings.founding) {
  // One that is to become a voter has a memory too, and no vote until it is one.
  voter_.emplace(settings.name, settings.lease_manager.times, remembered, settings.founding, now);
}

// ---- datagrams

void GroupNode::send_to(const std::string& name, decltype(Send::body) body) {
  if (name == settings_.name) {
    own_.push_back({name, settings_.life, 1, name, std::move(body)});
    return;
  }
  // Whether it is thought to be well does not matter: that is for guesses, not for votes.
  if (const auto* m = group_.find(name)) sends_.push_back({m->endpoint, name, std::move(body)});
}

void GroupNode::on_datagram(Time now, const std::string& endpoint, const Datagram& datagram) {
  if (const auto* m = std::get_if<membership::Message>(&datagram.body)) {
    group_.on_message(now, datagram.sender, endpoint, *m);
  } else {
    take(now, datagram);
  }
  settle(now);
}

// Whoever has sent it, this instance included.
void GroupNode::take(Time now, const Datagram& d) {
  if (const auto* ask = std::get_if<VoteRequest>(&d.body)) {
    answer(now, d.sender, *ask);
  } else if (const auto* reply = std::get_if<VoteReply>(&d.body)) {
    hear_of(d.sender, reply->voters);
    mend_voters(now);
    lease_manager_.on_reply(now, d.sender, *reply);
  } else if (const auto* tell = std::get_if<lease::TransferMessage>(&d.body)) {
    lease_manager_.on_tell(now, d.sender, *tell);
  } else if (const auto* change = std::get_if<lease::Change>(&d.body)) {
    auto decision = voter_->on_change(now, *change);
    unkept_ = unkept_ || decision.changed;
    if (!keep_record()) return;
    hear_of(d.sender, decision.reply.voters);
    send_to(d.sender, std::move(decision.reply));
  } else if (const auto* changed = std::get_if<lease::Changed>(&d.body)) {
    hear_of(d.sender, changed->voters);
    if (change_) change_->on_changed(now, d.sender, *changed);
  }
}

void GroupNode::hear_of(const std::string& voter, const lease::Voters& voters) {
  if (voters.names.empty()) return;
  if (voters.version > voters_.version) voters_ = voters;
  told_[voter] = voters;
  if (told_.size() > kMaxTold) told_.erase(told_.begin());
}

void GroupNode::answer(Time now, const std::string& from, const VoteRequest& ask) {
  // Nobody asks for another.
  if (ask.kind != VoteRequest::Kind::kQuery && ask.holder.name != from) return;
  // One that is no voter, or no more, says who is.
  if (ask.kind == VoteRequest::Kind::kLease && !voter_->record().voters.has(settings_.name)) {
    VoteReply reply;
    reply.verdict = VoteReply::Verdict::kVoters;
    reply.address = ask.address;
    reply.number = ask.number;
    reply.voters = voter_->record().voters;
    return send_to(from, std::move(reply));
  }
  const auto decision = voter_->on_ask(now, ask);
  unkept_ = unkept_ || decision.changed;
  // What could not be kept is said to nobody, however often it is asked for.
  if (!keep_record()) return;
  send_to(from, decision.reply);
}

// Whether all that this voter has decided is on disk.
bool GroupNode::keep_record() {
  if (!unkept_) return true;
  unkept_ = !memory_.keep(voter_->record());
  if (std::exchange(mute_, unkept_) != unkept_)
    lines_.push_back(unkept_ ? "voter: gives no vote, as its record cannot be kept"
                             : "voter: promises can be kept again");
  return !unkept_;
}

void GroupNode::restore_voter(Time now, const std::optional<lease::VoterRecord>& remembered) {
  voter_.emplace(settings_.name, settings_.lease_manager.times, remembered, settings_.founding,
                 now);
  unkept_ = false;
  if (std::exchange(mute_, false)) lines_.push_back("voter: promises can be kept again");
  if (remembered && remembered->voters.version > voters_.version) voters_ = remembered->voters;
  settle(now);
}

// ---- what others are

std::vector<lease::Peer> GroupNode::peers(Time now) {
  std::vector<lease::Peer> all;
  for (const auto& [name, member] : group_.members()) {
    if (name == settings_.name || member.state != State::kAlive) continue;
    const auto meta = decode_meta(member.meta);
    if (!meta) continue;
    voter_->on_heard_of(meta->voters);
    Eligibility& a = eligibilities_[name];
    if (a.life != member.life || a.eligible != meta->eligible)
      a = {member.life, meta->eligible, now};
    all.push_back({name, meta->eligible, a.since, meta->holds});
  }
  std::erase_if(eligibilities_, [this](const auto& a) { return group_.find(a.first) == nullptr; });
  return all;
}

void GroupNode::note_states() {
  for (const auto& [address, lease_holder] : lease_manager_.lease_holders()) {
    const auto [it, fresh] = states_.try_emplace(address, LeaseHolder::State::kIdle);
    const LeaseHolder::State now = lease_holder.state();
    if (it->second == now) continue;
    const auto before = std::exchange(it->second, now);
    // Elections come and go; what matters is who holds.
    if (now == LeaseHolder::State::kCandidate || before == LeaseHolder::State::kCandidate)
      if (now != LeaseHolder::State::kHolder && now != LeaseHolder::State::kCutOff) continue;
    lines_.push_back("address " + address + ": " + lease::name_of(now) + ", term " +
                     std::to_string(lease_holder.term()) + ": " + lease_holder.why());
  }
}

// Whatever has happened: what follows from it for the parts that do not know each other.
void GroupNode::settle(Time now) {
  // What it says to itself; an answer may bring on another question.
  for (int i = 0; i < 8 && !own_.empty(); ++i)
    for (const Datagram& d : std::exchange(own_, {})) take(now, d);
  if (group_.revision() != seen_revision_) {
    seen_revision_ = group_.revision();
    lease_manager_.on_peers(now, peers(now));
  }
  if (change_) drive_change(now);
  voter_->on_heard_of(voters_.version);
  group_.set_meta(
      now, encode(Meta{lease_manager_.eligible(), voter_->record().voters.has(settings_.name),
                       voters_.version, lease_manager_.holds()}));
  for (auto& s : lease_manager_.take_sends()) send_to(s.voter, std::move(s.ask));
  for (auto& t : lease_manager_.take_tells()) send_to(t.to, std::move(t.tell));
  if (!own_.empty()) return settle(now);
  note_states();
}

std::vector<GroupNode::Send> GroupNode::take_sends() {
  auto all = std::exchange(sends_, {});
  for (auto& s : group_.take_sends()) all.push_back({s.endpoint, {}, std::move(s.message)});
  return all;
}

// ---- events

void GroupNode::on_eligible(Time now, bool eligible, std::string_view why) {
  lease_manager_.on_eligible(now, eligible && settings_.serves && !superseded(), why);
  settle(now);
}
void GroupNode::on_announced(Time now, const std::string& address) {
  lease_manager_.on_announced(now, address);
  settle(now);
}
void GroupNode::on_withdrawn(Time now, const std::string& address) {
  lease_manager_.on_withdrawn(now, address);
  settle(now);
}
void GroupNode::on_claim_failed(Time now, const std::string& address) {
  lease_manager_.on_claim_failed(now, address);
  settle(now);
}
void GroupNode::on_timer(Time now) {
  group_.on_timer(now);
  if (superseded()) lease_manager_.leave(now);
  lease_manager_.on_timer(now);
  settle(now);
}

Time GroupNode::next() const {
  Time first = std::min(group_.next(), lease_manager_.next());
  if (change_) first = std::min(first, change_->next());
  return first;
}

std::string GroupNode::move(Time now, const std::string& address, const std::string& to) {
  std::string why = lease_manager_.move(now, address, to);
  settle(now);
  return why;
}

void GroupNode::leave(Time now) {
  lease_manager_.leave(now);
  settle(now);
}

void GroupNode::end(Time now) { group_.leave(now); }

// ---- voters

void GroupNode::change_voters(Time now, const std::string& name, bool add,
                              std::function<void(bool, const std::string&)> done) {
  if (change_) return done(false, "another change is under way here");
  if (add && !group_.find(name)) return done(false, "no member has the name " + name);
  if (voters_.has(name) == add)
    return done(false, name + (add ? " votes already" : " is no voter"));
  const auto number = static_cast<std::uint64_t>(now.count());
  change_.emplace(settings_.name, number, voters_, name, add, number, now);
  changed_ = std::move(done);
  settle(now);
}

void GroupNode::drive_change(Time now) {
  if (change_->next() <= now) change_->on_timer(now);
  for (auto& s : change_->take_sends()) send_to(s.to, std::move(s.change));
  if (!change_->outcome()) return;
  const auto outcome = *change_->outcome();
  if (change_->voters().version > voters_.version) voters_ = change_->voters();
  change_.reset();
  std::exchange(changed_, nullptr)(outcome.done, outcome.line);
}

// A voter that was away while the voters changed goes by old ones, and its answers are of no use.
// Whoever has heard one of the newest set say so tells it: that anybody goes by a set proves that
// it was chosen.
void GroupNode::mend_voters(Time now) {
  if (now < mend_at_) return;
  bool exists = false;
  for (const auto& [name, voters] : told_) exists = exists || voters == voters_;
  if (!exists) return;
  for (const auto& name : voters_.names) {
    const auto it = told_.find(name);
    if (it == told_.end() || it->second.version >= voters_.version) continue;
    mend_at_ = now + kMendAgain;
    lease::Change adopt;
    adopt.kind = lease::Change::Kind::kAdopt;
    adopt.present = it->second;
    adopt.next = voters_;
    send_to(name, std::move(adopt));
  }
}

}  // namespace balancer::group

#include "group/group_node.h"

#include <algorithm>

namespace balancer::group {
namespace {

using lease::LeaseHolder;
using lease::ReconfigurationReply;
using lease::ReconfigurationRequest;
using lease::TransferMessage;
using lease::VoteReply;
using lease::VoteRequest;
using membership::GossipMessage;
using membership::MemberState;

// Maximum number of voters whose reported sets are kept.
constexpr std::size_t kMaxReportedSets = 64;
// Interval at which voters that use an old set are sent the newest one.
constexpr Duration kLaggingUpdateInterval = std::chrono::seconds(1);
// Maximum rounds of messages from this instance to itself in one pass; a reply may cause another
// request.
constexpr int kMaxLoopbackRounds = 8;

membership::MemberUpdate own_update(const GroupNodeSettings& settings) {
  MemberMeta meta;
  meta.is_voter = settings.initial_voters.has(settings.name);
  meta.voter_set_version = settings.initial_voters.version;
  membership::MemberUpdate update;
  update.name = settings.name;
  update.endpoint = settings.endpoint;
  update.incarnation = settings.incarnation;
  update.meta = encode(meta);
  return update;
}

}  // namespace

GroupNode::GroupNode(const GroupNodeSettings& settings,
                     const std::optional<lease::VoterRecord>& record,
                     VoterRecordStore& record_store, std::uint64_t seed, Time now)
    : settings_(settings),
      record_store_(record_store),
      membership_(settings.membership, own_update(settings), seed, now),
      lease_manager_(settings.lease_manager, {settings.name, settings.incarnation},
                     record ? record->voters : settings.initial_voters, seed + 1, now),
      voters_(record ? record->voters : settings.initial_voters) {
  voter_.emplace(settings.name, settings.lease_manager.times, record, settings.initial_voters, now);
}

// ---- datagrams

void GroupNode::send_to(const std::string& name, decltype(Datagram::body) body) {
  if (name == settings_.name) {
    loopback_.push_back({name, settings_.incarnation, 1, name, std::move(body)});
    return;
  }
  // Members that membership considers dead are sent to as well: membership is a hint, and votes do
  // not depend on it.
  if (const auto* member = membership_.find(name))
    datagrams_.push_back({member->endpoint, name, std::move(body)});
}

void GroupNode::on_datagram(Time now, const std::string& endpoint, const Datagram& datagram) {
  if (const auto* message = std::get_if<GossipMessage>(&datagram.body)) {
    membership_.on_message(now, datagram.sender, endpoint, *message);
  } else {
    on_body(now, datagram);
  }
  process_pending(now);
}

// Handles messages of all kinds except gossip; the sender may be this instance.
void GroupNode::on_body(Time now, const Datagram& datagram) {
  const std::string& from = datagram.sender;
  if (const auto* request = std::get_if<VoteRequest>(&datagram.body)) {
    on_vote_request(now, from, *request);
  } else if (const auto* reply = std::get_if<VoteReply>(&datagram.body)) {
    on_vote_reply(now, from, *reply);
  } else if (const auto* transfer = std::get_if<TransferMessage>(&datagram.body)) {
    lease_manager_.on_transfer_message(now, from, *transfer);
  } else if (const auto* change = std::get_if<ReconfigurationRequest>(&datagram.body)) {
    on_reconfiguration_request(now, from, *change);
  } else if (const auto* answer = std::get_if<ReconfigurationReply>(&datagram.body)) {
    on_reconfiguration_reply(now, from, *answer);
  }
}

void GroupNode::on_vote_request(Time now, const std::string& from, const VoteRequest& request) {
  // A member may not request or release a lease on behalf of another.
  if (request.kind != VoteRequest::Kind::kQuery && request.holder.name != from) return;
  if (request.kind == VoteRequest::Kind::kLease && !is_voter()) {
    VoteReply reply;
    reply.verdict = VoteReply::Verdict::kVoterSetMismatch;
    reply.address = request.address;
    reply.number = request.number;
    reply.voters = voter_->record().voters;
    return send_to(from, std::move(reply));
  }
  const auto decision = voter_->on_vote_request(now, request);
  is_record_unsaved_ = is_record_unsaved_ || decision.record_changed;
  if (save_record()) send_to(from, decision.reply);
}

void GroupNode::on_vote_reply(Time now, const std::string& from, const VoteReply& reply) {
  record_voter_set(from, reply.voters);
  update_lagging_voters(now);
  lease_manager_.on_reply(now, from, reply);
}

void GroupNode::on_reconfiguration_request(Time now, const std::string& from,
                                           const ReconfigurationRequest& request) {
  auto decision = voter_->on_reconfiguration(now, request);
  is_record_unsaved_ = is_record_unsaved_ || decision.record_changed;
  if (!save_record()) return;
  record_voter_set(from, decision.reply.voters);
  send_to(from, std::move(decision.reply));
}

void GroupNode::on_reconfiguration_reply(Time now, const std::string& from,
                                         const ReconfigurationReply& reply) {
  record_voter_set(from, reply.voters);
  if (reconfiguration_) reconfiguration_->on_reply(now, from, reply);
}

std::vector<GroupNode::OutgoingDatagram> GroupNode::take_datagrams() {
  auto all = std::exchange(datagrams_, {});
  for (auto& out : membership_.take_messages())
    all.push_back({out.endpoint, {}, std::move(out.message)});
  return all;
}

// ---- the voter's record

bool GroupNode::save_record() {
  if (!is_record_unsaved_) return true;
  is_record_unsaved_ = !record_store_.save(voter_->record());
  if (std::exchange(has_save_failed_, is_record_unsaved_) != is_record_unsaved_)
    log_lines_.push_back(is_record_unsaved_
                             ? "voter: grants no votes: its record cannot be written"
                             : "voter: grants votes again: its record can be written");
  return !is_record_unsaved_;
}

void GroupNode::restore_voter(Time now, const std::optional<lease::VoterRecord>& record) {
  voter_.emplace(settings_.name, settings_.lease_manager.times, record, settings_.initial_voters,
                 now);
  is_record_unsaved_ = false;
  if (std::exchange(has_save_failed_, false))
    log_lines_.push_back("voter: grants votes again: its record can be written");
  if (record && record->voters.version > voters_.version) voters_ = record->voters;
  process_pending(now);
}

// ---- peers and states

std::vector<lease::Peer> GroupNode::collect_peers(Time now) {
  std::vector<lease::Peer> all;
  for (const auto& [name, member] : membership_.members()) {
    if (name == settings_.name || member.state != MemberState::kAlive) continue;
    const auto meta = decode_meta(member.meta);
    if (!meta) continue;
    voter_->on_voter_set_seen(meta->voter_set_version);
    PeerEligibility& known = peer_eligibility_[name];
    if (known.incarnation != member.incarnation || known.eligible != meta->eligible)
      known = {member.incarnation, meta->eligible, now};
    all.push_back({name, meta->eligible, known.since, meta->held_terms});
  }
  std::erase_if(peer_eligibility_,
                [this](const auto& entry) { return membership_.find(entry.first) == nullptr; });
  return all;
}

void GroupNode::log_state_changes() {
  using State = LeaseHolder::State;
  for (const auto& [address, lease_holder] : lease_manager_.lease_holders()) {
    const auto [it, is_new] = logged_states_.try_emplace(address, State::kIdle);
    const State state = lease_holder.state();
    if (it->second == state) continue;
    const State before = std::exchange(it->second, state);
    // Unsuccessful elections are frequent and not worth a log line.
    const bool is_election = state == State::kCandidate || before == State::kCandidate;
    if (is_election && state != State::kHolder && state != State::kPartitioned) continue;
    log_lines_.push_back("lease " + address + ": " + lease::log_name(state) + ", term " +
                         std::to_string(lease_holder.term()) + ": " + lease_holder.reason());
  }
}

// Called after every event. Passes messages and changes between the components.
void GroupNode::process_pending(Time now) {
  for (int i = 0; i < kMaxLoopbackRounds && !loopback_.empty(); ++i)
    for (const Datagram& datagram : std::exchange(loopback_, {})) on_body(now, datagram);
  if (membership_.revision() != seen_revision_) {
    seen_revision_ = membership_.revision();
    lease_manager_.on_peers(now, collect_peers(now));
  }
  if (reconfiguration_) drive_reconfiguration(now);
  voter_->on_voter_set_seen(voters_.version);
  membership_.set_meta(now, encode(MemberMeta{lease_manager_.eligible(), is_voter(),
                                              voters_.version, lease_manager_.held_terms()}));
  for (auto& out : lease_manager_.take_requests()) send_to(out.voter, std::move(out.request));
  for (auto& out : lease_manager_.take_transfers()) send_to(out.to, std::move(out.message));
  if (!loopback_.empty()) return process_pending(now);
  log_state_changes();
}

// ---- events

void GroupNode::on_eligible(Time now, bool eligible, std::string_view reason) {
  lease_manager_.on_eligible(now, eligible && settings_.may_hold_leases && !superseded(), reason);
  process_pending(now);
}

void GroupNode::on_announced(Time now, const std::string& address) {
  lease_manager_.on_announced(now, address);
  process_pending(now);
}

void GroupNode::on_withdrawn(Time now, const std::string& address) {
  lease_manager_.on_withdrawn(now, address);
  process_pending(now);
}

void GroupNode::on_announcement_failed(Time now, const std::string& address) {
  lease_manager_.on_announcement_failed(now, address);
  process_pending(now);
}

void GroupNode::on_timer(Time now) {
  membership_.on_timer(now);
  if (superseded()) lease_manager_.leave(now);
  lease_manager_.on_timer(now);
  process_pending(now);
}

Time GroupNode::next_timer_at() const {
  const Time first = std::min(membership_.next_timer_at(), lease_manager_.next_timer_at());
  return reconfiguration_ ? std::min(first, reconfiguration_->next_timer_at()) : first;
}

// ---- commands

std::string GroupNode::move(Time now, const std::string& address, const std::string& to) {
  std::string error = lease_manager_.move(now, address, to);
  process_pending(now);
  return error;
}

void GroupNode::leave(Time now) {
  lease_manager_.leave(now);
  process_pending(now);
}

void GroupNode::announce_departure(Time now) { membership_.leave(now); }

// ---- the set of voters

void GroupNode::reconfigure_voters(Time now, const std::string& name, bool add,
                                   ReconfigurationDone done) {
  if (reconfiguration_)
    return done(false, "another change of the voters is in progress on this instance");
  if (add && !membership_.find(name)) return done(false, "no member is named " + name);
  if (voters_.has(name) == add)
    return done(false, name + (add ? " is already a voter" : " is not a voter"));
  const auto number = static_cast<std::uint64_t>(now.count());
  reconfiguration_.emplace(settings_.name, number, voters_, name, add, number, now);
  reconfiguration_done_ = std::move(done);
  process_pending(now);
}

void GroupNode::drive_reconfiguration(Time now) {
  if (reconfiguration_->next_timer_at() <= now) reconfiguration_->on_timer(now);
  for (auto& out : reconfiguration_->take_requests()) send_to(out.to, std::move(out.request));
  if (!reconfiguration_->outcome()) return;
  const auto outcome = *reconfiguration_->outcome();
  if (reconfiguration_->voters().version > voters_.version) voters_ = reconfiguration_->voters();
  reconfiguration_.reset();
  std::exchange(reconfiguration_done_, nullptr)(outcome.succeeded, outcome.message);
}

void GroupNode::record_voter_set(const std::string& voter, const lease::VoterSet& voters) {
  if (voters.names.empty()) return;
  if (voters.version > voters_.version) voters_ = voters;
  reported_sets_[voter] = voters;
  if (reported_sets_.size() > kMaxReportedSets) reported_sets_.erase(reported_sets_.begin());
}

// A voter that was unreachable during a reconfiguration uses an old set, and its votes do not
// count. If any voter uses the newest set, that set was chosen, so it may be sent to the other
// voters for adoption.
void GroupNode::update_lagging_voters(Time now) {
  if (now < next_lagging_update_at_) return;
  const bool is_in_use = std::any_of(reported_sets_.begin(), reported_sets_.end(),
                                     [this](const auto& entry) { return entry.second == voters_; });
  if (!is_in_use) return;
  for (const auto& name : voters_.names) {
    const auto reported = reported_sets_.find(name);
    if (reported == reported_sets_.end() || reported->second.version >= voters_.version) continue;
    next_lagging_update_at_ = now + kLaggingUpdateInterval;
    ReconfigurationRequest adopt;
    adopt.kind = ReconfigurationRequest::Kind::kAdopt;
    adopt.current = reported->second;
    adopt.next = voters_;
    send_to(name, std::move(adopt));
  }
}

}  // namespace balancer::group

#include "lease/voter.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace balancer::lease {
namespace {

// Bounds the record against requests for invented addresses; a group has far fewer addresses.
constexpr std::size_t kMaxAddresses = 256;

bool is_granted_to(const VoterRecord::Grant& grant, const VoteRequest& request) {
  return grant.holder == request.holder && grant.term == request.term && request.term > 0;
}

}  // namespace

bool is_valid(const VoterSet& voters) {
  return !voters.names.empty() && voters.names.size() <= kMaxVoters &&
         std::is_sorted(voters.names.begin(), voters.names.end()) &&
         std::adjacent_find(voters.names.begin(), voters.names.end()) == voters.names.end();
}

bool is_single_step(const VoterSet& from, const VoterSet& to) {
  if (to.version != from.version + 1) return false;
  std::vector<std::string> difference;
  std::set_symmetric_difference(from.names.begin(), from.names.end(), to.names.begin(),
                                to.names.end(), std::back_inserter(difference));
  return difference.size() == 1;
}

Voter::Voter(std::string name, const LeaseTimes& times, const std::optional<VoterRecord>& record,
             const VoterSet& initial_voters, Time now)
    : name_(std::move(name)), times_(times), recovering_until_(now), voter_set_adopted_at_(now) {
  if (record) {
    record_ = *record;
    for (const auto& [address, grant] : record_.grants)
      grant_states_[address].expires_at = now + std::max(grant.duration, times_.duration);
  } else {
    record_.voters = initial_voters;
    record_.record_lost = true;
    recovering_until_ = now + times_.duration;
  }
}

// ---- leases

VoterRecord::Grant Voter::newest_grant(const std::string& address) const {
  const auto it = record_.grants.find(address);
  return it == record_.grants.end() ? VoterRecord::Grant{} : it->second;
}

Voter::GrantState Voter::grant_state(const std::string& address) const {
  const auto it = grant_states_.find(address);
  return it == grant_states_.end() ? GrantState{} : it->second;
}

Voter::VoteDecision Voter::on_vote_request(Time now, const VoteRequest& request) {
  VoteDecision decision;
  VoteReply& reply = decision.reply;
  const VoterRecord::Grant grant = newest_grant(request.address);
  const GrantState state = grant_state(request.address);
  const bool held = is_held(grant, state, now);
  reply.address = request.address;
  reply.number = request.number;
  reply.voters = record_.voters;
  reply.term = grant.term;
  reply.holder = grant.holder;
  if (held) reply.remaining = state.expires_at - now;
  switch (request.kind) {
    case VoteRequest::Kind::kQuery:
      if (!held) reply.holder = {};
      break;
    case VoteRequest::Kind::kRelease:
      release(now, request);
      break;
    case VoteRequest::Kind::kLease:
      decision.record_changed = decide_lease(now, request, reply);
      break;
  }
  return decision;
}

// A release by an instance other than the present holder, or a late one from an earlier term, has
// no effect.
void Voter::release(Time now, const VoteRequest& request) {
  if (!is_granted_to(newest_grant(request.address), request)) return;
  GrantState& state = grant_states_[request.address];
  if (state.is_released) return;
  state.is_released = true;
  state.reserved_for = request.successor;
  state.reserved_until = now + (request.successor.empty() ? Duration{0} : times_.overlap);
}

bool Voter::decide_lease(Time now, const VoteRequest& request, VoteReply& reply) {
  using Verdict = VoteReply::Verdict;
  const VoterRecord::Grant grant = newest_grant(request.address);
  const GrantState state = grant_state(request.address);
  if (const Duration wait = remaining_recovery(now); wait > Duration{0}) {
    reply.verdict = Verdict::kUnavailable;
    reply.remaining = wait;
    return false;
  }
  if (request.voter_set_version != record_.voters.version ||
      newest_version_seen_ > record_.voters.version + 1) {
    reply.verdict = Verdict::kVoterSetMismatch;
    return false;
  }
  if (is_granted_to(grant, request) && !state.is_released) {
    // A renewal, possibly of a lease that has expired on this voter: no other instance was granted
    // a lease in between.
    GrantState& renewed = grant_states_[request.address];
    const bool changed = renew(now, record_.grants[request.address], renewed);
    reply.verdict = Verdict::kGranted;
    reply.remaining = renewed.expires_at - now;
    return changed;
  }
  // The holder may take a newer term: the grant stays with the same holder.
  const bool raises_term = grant.holder == request.holder && request.term > grant.term;
  if (is_held(grant, state, now) && !raises_term) {
    reply.verdict = Verdict::kHeld;
    return false;
  }
  if (state.reserved_until > now && state.reserved_for != request.holder.name) {
    reply.verdict = Verdict::kHeld;
    reply.remaining = state.reserved_until - now;
    reply.holder = {state.reserved_for, 0};
    return false;
  }
  if (request.term <= grant.term) {
    reply.verdict = Verdict::kOldTerm;
    return false;
  }
  if (record_.grants.count(request.address) == 0 && record_.grants.size() >= kMaxAddresses) {
    reply.verdict = Verdict::kUnavailable;
    reply.remaining = times_.duration;
    return false;
  }
  // A holder that raises its term keeps what it was granted before.
  const bool keeps_lease = raises_term && is_held(grant, state, now);
  VoterRecord::Grant& granted = record_.grants[request.address];
  GrantState& granted_state = grant_states_[request.address];
  if (!keeps_lease) granted_state = {};
  granted = {request.term, request.holder, keeps_lease ? grant.duration : Duration{0}};
  renew(now, granted, granted_state);
  reply.verdict = Verdict::kGranted;
  reply.term = request.term;
  reply.holder = request.holder;
  reply.remaining = granted_state.expires_at - now;
  return true;
}

// A grant is never shortened: its holder relies on what it was told. The record has the longest
// duration that is still running, so that a restart does not shorten it either.
bool Voter::renew(Time now, VoterRecord::Grant& grant, GrantState& state) {
  const Time expires_at = now + times_.duration;
  if (expires_at < state.expires_at) return false;
  state.expires_at = expires_at;
  return std::exchange(grant.duration, times_.duration) != times_.duration;
}

Duration Voter::longest_grant() const {
  Duration longest = times_.duration;
  for (const auto& [address, grant] : record_.grants) longest = std::max(longest, grant.duration);
  return longest;
}

// ---- reconfiguration of the voters

Voter::ReconfigurationDecision Voter::on_reconfiguration(Time now,
                                                         const ReconfigurationRequest& request) {
  using Kind = ReconfigurationRequest::Kind;
  const VoterRecord before = record_;
  std::string reason;
  if (request.kind == Kind::kAdopt) {
    adopt(now, request);
    if (!(record_.voters == request.next)) reason = "goes by another set";
  } else {
    reason = rejection_reason(now, request);
    if (reason.empty()) {
      record_.promised_ballot = request.ballot;
      if (request.kind == Kind::kAccept) {
        record_.accepted_ballot = request.ballot;
        record_.accepted_voters = request.next;
      }
    }
  }
  ReconfigurationDecision decision;
  decision.reply.kind = request.kind;
  decision.reply.number = request.number;
  decision.reply.ok = reason.empty();
  decision.reply.record_lost = record_.record_lost;
  decision.reply.voters = record_.voters;
  decision.reply.promised_ballot = record_.promised_ballot;
  decision.reply.accepted_ballot = record_.accepted_ballot;
  decision.reply.accepted_voters = record_.accepted_voters;
  decision.reply.rejection_reason = std::move(reason);
  decision.record_changed = !(record_ == before);
  return decision;
}

void Voter::adopt(Time now, const ReconfigurationRequest& request) {
  if (request.next.version <= record_.voters.version || !is_valid(request.next)) return;
  // Once all voters, including this one, have accepted the set, no other set that this voter may
  // have accepted and forgotten can still be chosen.
  if (request.accepted_by_all && record_.accepted_voters == request.next)
    record_.record_lost = false;
  record_.voters = request.next;
  record_.promised_ballot = record_.accepted_ballot = {};
  record_.accepted_voters = {};
  voter_set_adopted_at_ = now;
}

std::string Voter::rejection_reason(Time now, const ReconfigurationRequest& request) const {
  if (!(request.current == record_.voters))
    return "goes by version " + std::to_string(record_.voters.version);
  if (!record_.voters.has(name_)) return "is no voter";
  if (request.ballot.empty() || request.ballot < record_.promised_ballot)
    return "has promised another ballot";
  if (request.kind == ReconfigurationRequest::Kind::kPrepare) return {};
  if (!is_valid(request.next) || !is_single_step(request.current, request.next))
    return "version " + std::to_string(request.next.version) + " does not follow version " +
           std::to_string(request.current.version) + " by one voter more or less";
  if (now < voter_set_adopted_at_ + longest_grant())
    return "has not gone by the present set for a lease yet";
  return {};
}

std::string Voter::fingerprint() const {
  std::string out =
      std::to_string(record_.voters.version) + "," + std::to_string(recovering_until_.count()) +
      "," + std::to_string(voter_set_adopted_at_.count()) + "," +
      std::to_string(newest_version_seen_) + "," + std::to_string(record_.promised_ballot.number) +
      record_.promised_ballot.proposer + "," + std::to_string(record_.accepted_ballot.number) +
      record_.accepted_ballot.proposer + std::to_string(record_.accepted_voters.names.size()) +
      std::to_string(record_.record_lost);
  for (const auto& [address, grant] : record_.grants)
    out += ";" + address + "," + std::to_string(grant.term) + "," + grant.holder.name + "," +
           std::to_string(grant.holder.incarnation) + "," + std::to_string(grant.duration.count());
  for (const auto& [address, state] : grant_states_)
    out += ";" + address + "," + std::to_string(state.expires_at.count()) + "," +
           state.reserved_for + "," + std::to_string(state.reserved_until.count()) + "," +
           std::to_string(state.is_released);
  return out;
}

}  // namespace balancer::lease

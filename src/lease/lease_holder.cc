#include "lease/lease_holder.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;

// Number of renewals within the duration of a lease. The first poll of a partitioned instance
// follows after the same interval.
constexpr int kRenewalsPerLease = 4;
// Number of latest renewal rounds whose answers are still counted.
constexpr std::size_t kMaxOpenRounds = 4;
// Delay before an election: one step for each preferred candidate, and a random part.
constexpr Duration kRankStep = milliseconds(60);
constexpr Duration kElectionJitter = milliseconds(30);
// Longest random delay after a failed election. Keeps candidates that split the votes from
// colliding again.
constexpr Duration kCollisionBackoff = milliseconds(80);

}  // namespace

const char* log_name(LeaseHolder::State state) {
  return state == LeaseHolder::State::kPartitioned ? "partitioned" : status_name(state);
}

const char* status_name(LeaseHolder::State state) {
  switch (state) {
    case LeaseHolder::State::kIdle:
      return "idle";
    case LeaseHolder::State::kCandidate:
      return "candidate";
    case LeaseHolder::State::kHolder:
      return "holder";
    case LeaseHolder::State::kHandingOver:
      return "handing over";
    case LeaseHolder::State::kReleasing:
      return "releasing";
    case LeaseHolder::State::kPartitioned:
      break;
  }
  return "cut off";
}

LeaseHolder::LeaseHolder(std::string address, InstanceId self, const LeaseTimes& times,
                         VoterSet voters, std::uint64_t seed, Time now)
    : address_(std::move(address)),
      self_(std::move(self)),
      times_(times),
      voters_(std::move(voters)),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      since_(now),
      next_election_at_(now),
      lease_duration_(times.duration) {}

bool LeaseHolder::may_serve(Time now, Duration drain) const {
  if (holds(now)) return true;
  const bool is_ending = state_ == State::kHandingOver || state_ == State::kReleasing;
  if (is_ending && now < may_serve_until_) return true;
  return graceful_since_ && is_release_confirmed_ && now < *graceful_since_ + drain;
}

std::optional<Time> LeaseHolder::graceful_release_since() const {
  const bool is_ending = state_ == State::kHandingOver || state_ == State::kReleasing;
  return is_ending ? graceful_since_ : std::nullopt;
}

Duration LeaseHolder::jitter(Duration max) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(max.count()) * times_.jitter_factor *
                                 std::uniform_real_distribution<>()(random_)));
}

Duration LeaseHolder::rank_delay() const { return rank_ * kRankStep; }

void LeaseHolder::enter(Time now, State state, std::string_view reason) {
  state_ = state;
  since_ = now;
  reason_ = reason;
}

// ---- commands of the lease manager

void LeaseHolder::set_candidacy(Time now, bool wanted, int rank) {
  const bool becomes_wanted = wanted && !is_wanted_;
  is_wanted_ = wanted;
  rank_ = rank;
  if (becomes_wanted && state_ == State::kIdle)
    next_election_at_ = std::max(next_election_at_, now + rank_delay() + jitter(kElectionJitter));
  if (!wanted && state_ == State::kCandidate)
    abandon_election(now, "no longer a candidate for the address");
}

void LeaseHolder::on_invitation(Time now, Term term) {
  newest_term_ = std::max(newest_term_, term);
  if (state_ != State::kIdle) return;
  is_wanted_ = is_invited_ = true;
  rank_ = 0;
  next_election_at_ = now;
}

void LeaseHolder::hand_over(Time now, const std::string& successor) {
  if (state_ != State::kHolder || successor == self_.name) return;
  if (!holds(now)) return lose_lease(now, "the lease expired before the hand-over");
  graceful_since_ = now;
  may_serve_until_ = std::min(valid_until_, now + times_.overlap);
  valid_until_ = now;
  open_rounds_.clear();
  is_wanted_ = false;
  // The voters reserve the address for the successor while this instance still announces it.
  send_release(successor);
  overlap_ends_at_ = now + times_.overlap;
  enter(now, State::kHandingOver, "handed over to " + successor);
  route_actions_.push_back({RouteAction::Kind::kDeprefer, address_, term_});
}

void LeaseHolder::on_successor_announces(Time now) {
  if (state_ != State::kHandingOver) return;
  is_release_confirmed_ = true;
  withdraw_routes(now, reason_);
}

void LeaseHolder::release(Time now, std::string_view reason) {
  is_wanted_ = false;
  if (state_ == State::kCandidate) return abandon_election(now, reason);
  if (state_ != State::kHolder) return;
  graceful_since_ = now;
  may_serve_until_ = valid_until_;
  open_rounds_.clear();
  withdraw_routes(now, reason);
}

// ---- requests to the voters

VoteRequest LeaseHolder::make_request(VoteRequest::Kind kind) {
  VoteRequest request;
  request.kind = kind;
  request.address = address_;
  request.term = term_;
  request.holder = self_;
  request.number = next_number_++;
  request.voter_set_version = voters_.version;
  return request;
}

void LeaseHolder::start_round(Time now, VoteRequest::Kind kind) {
  if (open_rounds_.size() >= kMaxOpenRounds) open_rounds_.pop_front();
  const VoteRequest request = make_request(kind);
  open_rounds_.push_back({request.number, now, {}, {}, times_.duration});
  for (const auto& voter : voters_.names) requests_.push_back({voter, request});
}

void LeaseHolder::send_release(const std::string& successor) {
  VoteRequest request = make_request(VoteRequest::Kind::kRelease);
  request.successor = successor;
  release_number_ = request.number;
  release_acknowledged_by_.clear();
  for (const auto& voter : voters_.names) requests_.push_back({voter, request});
}

// ---- elections and renewals

void LeaseHolder::start_election(Time now) {
  enter(now, State::kCandidate, "no other holder is known");
  if (std::exchange(is_invited_, false)) return request_votes(now);
  in_pre_vote_ = true;
  open_rounds_.clear();
  start_round(now, VoteRequest::Kind::kQuery);
  election_deadline_ = now + times_.round_timeout;
}

void LeaseHolder::request_votes(Time now) {
  in_pre_vote_ = false;
  open_rounds_.clear();
  term_ = ++newest_term_;
  start_round(now, VoteRequest::Kind::kLease);
  election_deadline_ = now + times_.round_timeout;
}

void LeaseHolder::abandon_election(Time now, std::string_view reason) {
  const std::size_t answered = open_rounds_.empty() ? 0 : open_rounds_.back().answered.size();
  const bool has_grants = !open_rounds_.empty() && !open_rounds_.back().granted.empty();
  voters_reached_ = answered;
  open_rounds_.clear();
  // Grants are released so that other candidates need not wait until they expire. Voters whose
  // answers are outstanding may have granted too.
  if (!std::exchange(in_pre_vote_, false) && (has_grants || answered < voters_.names.size()))
    send_release({});
  // Denials can end an election while answers are outstanding, so that too few answers mean
  // unreachable voters only once the deadline has passed.
  if (answered < majority() && now >= election_deadline_) {
    next_poll_at_ = now + times_.duration / kRenewalsPerLease + jitter(kCollisionBackoff);
    return enter(now, State::kPartitioned, "too few voters answered");
  }
  enter(now, State::kIdle, reason);
  next_election_at_ = now + rank_delay() + jitter(kCollisionBackoff);
  if (known_lease_ends_at_ > now)
    next_election_at_ =
        std::max(next_election_at_, known_lease_ends_at_ + rank_delay() + jitter(kElectionJitter));
}

void LeaseHolder::become_holder(Time now, const Round& round) {
  lease_duration_ = round.duration;
  valid_until_ = round.sent_at + times_.holder_duration(lease_duration_);
  voters_reached_ = round.answered.size();
  next_renewal_at_ = std::max(now, round.sent_at + renewal_interval());
  if (now >= valid_until_ - times_.withdraw_lead)
    return abandon_election(now, "the lease was granted too late to be used");
  believed_holder_ = self_;
  ++elections_won_;
  graceful_since_.reset();
  is_release_confirmed_ = false;
  raise_term_at_ = Time::max();
  enter(now, State::kHolder, "elected");
  route_actions_.push_back({RouteAction::Kind::kAnnounce, address_, term_});
}

void LeaseHolder::renew(Time now) {
  if (now >= raise_term_at_) {
    raise_term_at_ = Time::max();
    term_ = ++newest_term_;
    route_actions_.push_back({RouteAction::Kind::kAnnounce, address_, term_});
  }
  start_round(now, VoteRequest::Kind::kLease);
  next_renewal_at_ = now + renewal_interval();
}

Duration LeaseHolder::renewal_interval() const { return lease_duration_ / kRenewalsPerLease; }

void LeaseHolder::poll_voters(Time now) {
  open_rounds_.clear();
  start_round(now, VoteRequest::Kind::kQuery);
  voters_reached_ = 0;
  next_poll_at_ = now + times_.duration / 2 + jitter(kCollisionBackoff);
}

// Answers to requests under the previous set are not counted: half the votes of four could pass for
// a majority of three. A held lease remains valid because majorities of the two sets share a voter.
void LeaseHolder::adopt_voter_set(Time now, const VoterSet& voters) {
  if (voters.version <= voters_.version || voters.names.empty()) return;
  if (state_ == State::kCandidate) abandon_election(now, "the set of voters has changed");
  voters_ = voters;
  open_rounds_.clear();
  if (state_ == State::kHolder) next_renewal_at_ = now;
  if (state_ == State::kPartitioned) next_poll_at_ = now;
}

// ---- replies of the voters

void LeaseHolder::on_reply(Time now, const std::string& voter, const VoteReply& reply) {
  if (reply.address != address_ || !voters_.has(voter)) return;
  record_reply(now, voter, reply);
  const auto round =
      std::find_if(open_rounds_.begin(), open_rounds_.end(),
                   [&reply](const Round& open) { return open.number == reply.number; });
  if (round == open_rounds_.end() || !round->answered.insert(voter).second) return;
  if (state_ == State::kPartitioned) return on_partitioned_reply(now, *round);
  if (in_pre_vote_) return on_pre_vote_reply(now, *round, voter, reply);
  if (reply.verdict == VoteReply::Verdict::kGranted && reply.term == term_ && reply.holder == self_)
    record_grant(*round, voter, reply);
  if (state_ == State::kCandidate) return on_election_reply(now, *round, reply);
  if (state_ == State::kHolder) return on_renewal_reply(now, *round, reply);
}

// Records the information that every reply carries, whichever request it answers.
void LeaseHolder::record_reply(Time now, const std::string& voter, const VoteReply& reply) {
  const bool is_granted = reply.verdict == VoteReply::Verdict::kGranted;
  newest_term_ = std::max(newest_term_, reply.term);
  if (!is_granted && reply.term >= newest_term_) believed_holder_ = reply.holder;
  adopt_voter_set(now, reply.voters);
  if (!is_granted && reply.remaining > Duration{0})
    known_lease_ends_at_ = std::max(known_lease_ends_at_, now + reply.remaining);
  if (reply.number == release_number_ && release_acknowledged_by_.insert(voter).second &&
      release_acknowledged_by_.size() >= majority())
    is_release_confirmed_ = true;
}

// The voters may go by another duration than this instance, and state for how long they keep the
// grant. A longer time than the own duration is not used.
void LeaseHolder::record_grant(Round& round, const std::string& voter, const VoteReply& reply) {
  round.granted.insert(voter);
  if (reply.remaining > Duration{0}) round.duration = std::min(round.duration, reply.remaining);
}

void LeaseHolder::on_partitioned_reply(Time now, const Round& round) {
  voters_reached_ = round.answered.size();
  if (voters_reached_ < majority()) return;
  open_rounds_.clear();
  enter(now, State::kIdle, "a majority of the voters answers again");
  next_election_at_ = now + rank_delay() + jitter(kElectionJitter);
}

void LeaseHolder::on_pre_vote_reply(Time now, Round& round, const std::string& voter,
                                    const VoteReply& reply) {
  if (reply.verdict == VoteReply::Verdict::kQueryAnswer && reply.holder.empty())
    round.granted.insert(voter);
  if (round.granted.size() >= majority()) return request_votes(now);
  if (is_denied(round))
    abandon_election(now, reply.holder.empty() ? std::string("held by another instance")
                                               : "held by " + reply.holder.name);
}

void LeaseHolder::on_election_reply(Time now, const Round& round, const VoteReply& reply) {
  if (round.granted.size() >= majority()) return become_holder(now, round);
  if (is_denied(round))
    abandon_election(now, reply.holder.empty() || reply.holder == self_
                              ? std::string("another candidate has votes")
                              : "held by " + reply.holder.name);
}

void LeaseHolder::on_renewal_reply(Time now, const Round& round, const VoteReply& reply) {
  using Verdict = VoteReply::Verdict;
  voters_reached_ = std::max(voters_reached_, round.answered.size());
  if (reply.verdict == Verdict::kOldTerm && raise_term_at_ == Time::max())
    raise_term_at_ = now + times_.duration;
  if (round.granted.size() >= majority()) {
    lease_duration_ = round.duration;
    valid_until_ = std::max(valid_until_, round.sent_at + times_.holder_duration(lease_duration_));
    next_renewal_at_ = std::min(next_renewal_at_, round.sent_at + renewal_interval());
    voters_reached_ = round.answered.size();
    return;
  }
  // Only these two verdicts indicate that another holder may have a majority. After other denials,
  // such as those of voters that have lost their records, the lease lasts until it expires.
  const bool is_superseded = reply.verdict == Verdict::kOldTerm || reply.verdict == Verdict::kHeld;
  if (is_denied(round) && is_superseded)
    lose_lease(now,
               "renewal denied: a newer term was granted, or another instance holds the address");
}

// ---- the end of a lease

void LeaseHolder::withdraw_routes(Time now, std::string_view reason) {
  enter(now, State::kReleasing, reason);
  route_actions_.push_back({RouteAction::Kind::kWithdraw, address_, term_});
}

void LeaseHolder::end_ungracefully(Time now, std::string_view reason) {
  graceful_since_.reset();
  is_release_confirmed_ = false;
  may_serve_until_ = valid_until_;
  open_rounds_.clear();
  withdraw_routes(now, reason);
}

void LeaseHolder::lose_lease(Time now, std::string_view reason) {
  partitioned_after_withdrawal_ = true;
  end_ungracefully(now, reason);
}

void LeaseHolder::check_lease(Time now) {
  if (now >= valid_until_ - times_.withdraw_lead)
    lose_lease(now, "the lease was not renewed in time");
}

void LeaseHolder::on_announcement_failed(Time now) {
  if (state_ == State::kHolder) end_ungracefully(now, "the address could not be announced");
}

void LeaseHolder::on_withdrawn(Time now) {
  if (state_ != State::kReleasing) return;
  valid_until_ = std::min(valid_until_, now);
  may_serve_until_ = std::min(may_serve_until_, now);
  if (std::exchange(partitioned_after_withdrawal_, false)) {
    next_poll_at_ = now;
    return enter(now, State::kPartitioned, reason_);
  }
  send_release({});
  enter(now, State::kIdle, reason_);
  next_election_at_ = now + times_.duration;
}

// ---- time

void LeaseHolder::on_timer(Time now) {
  switch (state_) {
    case State::kIdle:
      if (is_wanted_ && now >= next_election_at_) start_election(now);
      break;
    case State::kCandidate:
      if (now >= election_deadline_)
        abandon_election(now, "no majority within the election timeout");
      break;
    case State::kHolder:
      check_lease(now);
      if (state_ == State::kHolder && now >= next_renewal_at_) renew(now);
      break;
    case State::kHandingOver:
      if (now >= overlap_ends_at_) withdraw_routes(now, reason_);
      break;
    case State::kPartitioned:
      if (now >= next_poll_at_) poll_voters(now);
      break;
    case State::kReleasing:
      // A missing report of the withdrawal delays nothing beyond the end of the lease.
      if (now >= releasing_ends()) on_withdrawn(now);
      break;
  }
}

Time LeaseHolder::next_timer_at() const {
  switch (state_) {
    case State::kIdle:
      return is_wanted_ ? next_election_at_ : Time::max();
    case State::kCandidate:
      return election_deadline_;
    case State::kHolder:
      return std::min(next_renewal_at_, valid_until_ - times_.withdraw_lead);
    case State::kHandingOver:
      return overlap_ends_at_;
    case State::kPartitioned:
      return next_poll_at_;
    case State::kReleasing:
      break;
  }
  return releasing_ends();
}

std::string LeaseHolder::fingerprint() const {
  std::string out;
  const auto number = [&out](auto n) { out += std::to_string(n) + ","; };
  const auto time = [&](Time t) { number(t.count()); };
  number(static_cast<int>(state_));
  number(is_wanted_);
  number(rank_);
  number(term_);
  number(newest_term_);
  number(next_number_);
  number(partitioned_after_withdrawal_);
  number(is_invited_);
  number(is_release_confirmed_);
  number(release_number_);
  number(release_acknowledged_by_.size());
  number(in_pre_vote_);
  number(voters_.version);
  for (const Time t :
       {next_election_at_, known_lease_ends_at_, election_deadline_, next_renewal_at_, valid_until_,
        overlap_ends_at_, next_poll_at_, raise_term_at_, may_serve_until_,
        graceful_since_.value_or(Time{-1}), since_, lease_duration_})
    time(t);
  for (const Round& r : open_rounds_) {
    number(r.number);
    time(r.sent_at);
    time(r.duration);
    for (const auto* set : {&r.granted, &r.answered}) {
      for (const auto& name : *set) out += name + " ";
      out += ";";
    }
  }
  return out;
}

}  // namespace balancer::lease

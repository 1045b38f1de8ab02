#include "lease/lease_holder.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;

// A lease is renewed this often within its length.
constexpr int kRenewals = 4;
// Renewals whose answers are still waited for.
constexpr std::size_t kMaxRounds = 4;
// Those behind the first wait so much longer for each before them, and all by chance as much.
constexpr Duration kRankStep = milliseconds(60);
constexpr Duration kChance = milliseconds(30);
// Two that took votes from each other come again after up to this.
constexpr Duration kCollision = milliseconds(80);

}  // namespace

const char* name_of(LeaseHolder::State state) {
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
    default:
      return "cut off";
  }
}

LeaseHolder::LeaseHolder(std::string address, Holder self, const LeaseTimes& times, Voters voters,
                         std::uint64_t seed, Time now)
    : address_(std::move(address)),
      self_(std::move(self)),
      times_(times),
      voters_(std::move(voters)),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      since_(now),
      try_at_(now) {}

Duration LeaseHolder::jitter(Duration most) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(most.count()) * times_.chance *
                                             std::uniform_real_distribution<>()(random_)));
}

void LeaseHolder::enter(Time now, State state, std::string_view why) {
  state_ = state;
  since_ = now;
  why_ = why;
}

// ---- what it is told to do

void LeaseHolder::want(Time now, bool wanted, int rank) {
  if (wanted && !wanted_ && state_ == State::kIdle)
    try_at_ = std::max(try_at_, now + rank * kRankStep + jitter(kChance));
  wanted_ = wanted;
  rank_ = rank;
  if (!wanted && state_ == State::kCandidate) give_up_election(now, "not wanted any more");
}

void LeaseHolder::invite(Time now, Term term) {
  newest_ = std::max(newest_, term);
  if (state_ != State::kIdle) return;
  wanted_ = invited_ = true;
  rank_ = 0;
  try_at_ = now;
}

void LeaseHolder::hand_over(Time now, const std::string& successor) {
  if (state_ != State::kHolder || successor == self_.name) return;
  if (!holds(now)) return lose(now, "the lease had ended");
  in_order_at_ = now;
  serves_until_ = std::min(valid_until_, now + times_.overlap);
  valid_until_ = now;
  rounds_.clear();
  wanted_ = false;
  // Only the successor is given the address while this one is still announced.
  tell_voters_released(successor);
  overlap_ends_ = now + times_.overlap;
  enter(now, State::kHandingOver, "handed over to " + successor);
  route_actions_.push_back({RouteAction::Kind::kFade, term_});
}

void LeaseHolder::on_successor_announces(Time now) {
  if (state_ != State::kHandingOver) return;
  end_known_ = true;
  stop_announcing(now);
}

void LeaseHolder::stop_announcing(Time now) {
  enter(now, State::kReleasing, why_);
  route_actions_.push_back({RouteAction::Kind::kWithdraw, term_});
}

void LeaseHolder::release(Time now, std::string_view why) {
  wanted_ = false;
  if (state_ == State::kCandidate) return give_up_election(now, why);
  if (state_ != State::kHolder) return;
  in_order_at_ = now;
  serves_until_ = valid_until_;
  rounds_.clear();
  enter(now, State::kReleasing, why);
  route_actions_.push_back({RouteAction::Kind::kWithdraw, term_});
}

// ---- elections and renewals

void LeaseHolder::begin_round(Time now, VoteRequest::Kind kind) {
  if (rounds_.size() >= kMaxRounds) rounds_.pop_front();
  rounds_.push_back({next_number_++, now, {}, {}});
  VoteRequest ask;
  ask.kind = kind;
  ask.address = address_;
  ask.term = term_;
  ask.holder = self_;
  ask.number = rounds_.back().number;
  ask.voters = voters_.version;
  for (const auto& voter : voters_.names) sends_.push_back({voter, ask});
}

void LeaseHolder::begin_election(Time now, bool known_free) {
  enter(now, State::kCandidate, "the address is free, as far as is known");
  if (known_free) return ask_for_votes(now);
  looking_ = true;
  rounds_.clear();
  begin_round(now, VoteRequest::Kind::kQuery);
  election_ends_ = now + times_.patience;
}

void LeaseHolder::ask_for_votes(Time now) {
  looking_ = false;
  rounds_.clear();
  term_ = ++newest_;
  begin_round(now, VoteRequest::Kind::kLease);
  election_ends_ = now + times_.patience;
}

// What was granted is given back, so that others need not wait for its end.
void LeaseHolder::give_up_election(Time now, std::string_view why) {
  const std::size_t answered = rounds_.empty() ? 0 : rounds_.back().answered.size();
  const bool any = !rounds_.empty() && !rounds_.back().granted.empty();
  reached_ = answered;
  rounds_.clear();
  // Voters whose answer is still out may have granted it too.
  if (!std::exchange(looking_, false) && (any || answered < voters_.names.size()))
    tell_voters_released({});
  // An election that others' denials have ended early has not waited for the rest.
  if (answered < majority() && now >= election_ends_) {
    poll_at_ = now + times_.lease / kRenewals + jitter(kCollision);
    return enter(now, State::kCutOff, "too few voters answer");
  }
  enter(now, State::kIdle, why);
  const Time later = now + rank_ * kRankStep + jitter(kCollision);
  try_at_ =
      std::max(later, free_at_ > now ? free_at_ + rank_ * kRankStep + jitter(kChance) : later);
}

void LeaseHolder::renew(Time now) {
  if (now >= raise_at_) {
    raise_at_ = Time::max();
    term_ = ++newest_;
    route_actions_.push_back({RouteAction::Kind::kAnnounce, term_});
  }
  begin_round(now, VoteRequest::Kind::kLease);
  renew_at_ = now + times_.lease / kRenewals;
}

// What was asked of the set before says nothing of a majority of this one: half the votes of four
// could pass for most of three. A lease that is held goes on: majorities of the two sets share a
// voter.
void LeaseHolder::take_voters(Time now, const Voters& voters) {
  if (voters.version <= voters_.version || voters.names.empty()) return;
  if (state_ == State::kCandidate) give_up_election(now, "the voters have changed");
  voters_ = voters;
  rounds_.clear();
  if (state_ == State::kHolder) renew_at_ = now;
  if (state_ == State::kCutOff) poll_at_ = now;
}

void LeaseHolder::on_reply(Time now, const std::string& voter, const VoteReply& r) {
  using Verdict = VoteReply::Verdict;
  if (r.address != address_ || !voters_.has(voter)) return;
  newest_ = std::max(newest_, r.term);
  if (r.verdict != Verdict::kGranted && r.term >= newest_) believed_ = r.holder;
  take_voters(now, r.voters);
  if (r.left > Duration{0} && r.verdict != Verdict::kGranted)
    free_at_ = std::max(free_at_, now + r.left);
  if (r.number == release_ && release_heard_.insert(voter).second &&
      release_heard_.size() >= majority())
    end_known_ = true;
  const auto round = std::find_if(rounds_.begin(), rounds_.end(),
                                  [&r](const Round& x) { return x.number == r.number; });
  if (round == rounds_.end() || !round->answered.insert(voter).second) return;
  if (state_ == State::kCutOff) {
    reached_ = round->answered.size();
    if (reached_ < majority()) return;
    rounds_.clear();
    enter(now, State::kIdle, "a majority of the voters answers again");
    try_at_ = now + rank_ * kRankStep + jitter(kChance);
    return;
  }
  if (looking_) return on_look(now, *round, voter, r);
  if (r.verdict == Verdict::kGranted && r.term == term_ && r.holder == self_)
    round->granted.insert(voter);
  const std::size_t granted = round->granted.size();
  const std::size_t denied = round->answered.size() - granted;
  if (state_ == State::kCandidate) {
    if (granted >= majority()) {
      valid_until_ = round->asked_at + times_.usable();
      reached_ = round->answered.size();
      renew_at_ = std::max(now, round->asked_at + times_.lease / kRenewals);
      if (now >= valid_until_ - times_.withdraw_lead) {
        // The answers took too long to be of use.
        return give_up_election(now, "the lease came too late");
      }
      believed_ = self_;
      ++lease_holders_;
      in_order_at_.reset();
      end_known_ = false;
      raise_at_ = Time::max();
      enter(now, State::kHolder, "elected");
      route_actions_.push_back({RouteAction::Kind::kAnnounce, term_});
    } else if (denied + majority() > voters_.names.size()) {
      give_up_election(now, r.holder.none() || r.holder == self_
                                ? std::string("another candidate has votes")
                                : "held by " + r.holder.name);
    }
    return;
  }
  if (state_ != State::kHolder) return;
  reached_ = std::max(reached_, round->answered.size());
  if (r.verdict == Verdict::kOldTerm && raise_at_ == Time::max()) raise_at_ = now + times_.lease;
  if (granted >= majority()) {
    valid_until_ = std::max(valid_until_, round->asked_at + times_.usable());
    reached_ = round->answered.size();
  } else if (denied + majority() > voters_.names.size() && r.verdict != Verdict::kVoters) {
    // They would not say so of a lease that is valid, but for one that has forgotten: then it goes
    // on until its end.
    if (r.verdict == Verdict::kOldTerm || r.verdict == Verdict::kHeld)
      lose(now, "the voters have promised it to another");
  }
}

// An answer to "who holds it?".
void LeaseHolder::on_look(Time now, Round& round, const std::string& voter, const VoteReply& r) {
  if (r.verdict == VoteReply::Verdict::kTold && r.holder.none()) round.granted.insert(voter);
  if (round.granted.size() >= majority()) return ask_for_votes(now);
  const std::size_t taken = round.answered.size() - round.granted.size();
  if (taken + majority() > voters_.names.size())
    give_up_election(now,
                     r.holder.none() ? std::string("others hold it") : "held by " + r.holder.name);
}

// ---- ends

void LeaseHolder::tell_voters_released(const std::string& successor) {
  VoteRequest ask;
  ask.kind = VoteRequest::Kind::kRelease;
  ask.address = address_;
  ask.term = term_;
  ask.holder = self_;
  ask.number = release_ = next_number_++;
  release_heard_.clear();
  ask.voters = voters_.version;
  ask.successor = successor;
  for (const auto& voter : voters_.names) sends_.push_back({voter, ask});
}

void LeaseHolder::lose(Time now, std::string_view why) {
  in_order_at_.reset();
  end_known_ = false;
  serves_until_ = valid_until_;
  rounds_.clear();
  cut_off_next_ = true;
  enter(now, State::kReleasing, why);
  route_actions_.push_back({RouteAction::Kind::kWithdraw, term_});
}

void LeaseHolder::check_lease(Time now) {
  if (now >= valid_until_ - times_.withdraw_lead) lose(now, "the lease was not renewed in time");
}

void LeaseHolder::on_withdrawn(Time now) {
  if (state_ != State::kReleasing) return;
  valid_until_ = std::min(valid_until_, now);
  serves_until_ = std::min(serves_until_, now);
  if (std::exchange(cut_off_next_, false)) {
    poll_at_ = now;
    return enter(now, State::kCutOff, why_);
  }
  tell_voters_released({});
  enter(now, State::kIdle, why_);
  try_at_ = now + times_.lease;
}

void LeaseHolder::on_claim_failed(Time now) {
  if (state_ != State::kHolder) return;
  rounds_.clear();
  in_order_at_.reset();
  end_known_ = false;
  serves_until_ = valid_until_;
  enter(now, State::kReleasing, "the claim could not be carried out");
  route_actions_.push_back({RouteAction::Kind::kWithdraw, term_});
}

void LeaseHolder::poll_cut_off(Time now) {
  rounds_.clear();
  begin_round(now, VoteRequest::Kind::kQuery);
  reached_ = 0;
  poll_at_ = now + times_.lease / 2 + jitter(kCollision);
}

void LeaseHolder::on_timer(Time now) {
  switch (state_) {
    case State::kIdle:
      if (wanted_ && now >= try_at_) begin_election(now, std::exchange(invited_, false));
      break;
    case State::kCandidate:
      if (now >= election_ends_) give_up_election(now, "no majority in time");
      break;
    case State::kHolder:
      check_lease(now);
      if (state_ == State::kHolder && now >= renew_at_) renew(now);
      break;
    case State::kHandingOver:
      if (now >= overlap_ends_) stop_announcing(now);
      break;
    case State::kCutOff:
      if (now >= poll_at_) poll_cut_off(now);
      break;
    case State::kReleasing:
      // A carrier that does not come to an end holds nothing up beyond the lease.
      if (now >= releasing_ends()) on_withdrawn(now);
      break;
  }
}

Time LeaseHolder::next() const {
  switch (state_) {
    case State::kIdle:
      return wanted_ ? try_at_ : Time::max();
    case State::kCandidate:
      return election_ends_;
    case State::kHolder:
      return std::min(renew_at_, valid_until_ - times_.withdraw_lead);
    case State::kHandingOver:
      return overlap_ends_;
    case State::kCutOff:
      return poll_at_;
    default:
      return releasing_ends();
  }
}

std::string LeaseHolder::fingerprint() const {
  std::string out;
  const auto number = [&out](auto n) { out += std::to_string(n) + ","; };
  const auto time = [&](Time t) { number(t.count()); };
  number(static_cast<int>(state_));
  number(wanted_);
  number(rank_);
  number(term_);
  number(newest_);
  number(next_number_);
  number(cut_off_next_);
  number(invited_);
  number(end_known_);
  number(release_);
  number(release_heard_.size());
  number(looking_);
  number(voters_.version);
  for (const Time t : {try_at_, free_at_, election_ends_, renew_at_, valid_until_, overlap_ends_,
                       poll_at_, raise_at_, serves_until_, in_order_at_.value_or(Time{-1}), since_})
    time(t);
  for (const Round& r : rounds_) {
    number(r.number);
    time(r.asked_at);
    for (const auto* set : {&r.granted, &r.answered}) {
      for (const auto& name : *set) out += name + " ";
      out += ";";
    }
  }
  return out;
}

}  // namespace balancer::lease

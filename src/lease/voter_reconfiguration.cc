#include "lease/voter_reconfiguration.h"

#include <algorithm>

#include "lease/voter.h"

namespace balancer::lease {
namespace {

// Random delay of the driver with the older ballot, so that two drivers do not keep outbidding each
// other.
constexpr Duration kMinBackoff = std::chrono::milliseconds(20);
constexpr unsigned kBackoffRangeMs = 100;

}  // namespace

VoterReconfiguration::VoterReconfiguration(std::string self, std::uint64_t number,
                                           const VoterSet& current, std::string voter, bool add,
                                           std::uint64_t seed, Time now)
    : self_(std::move(self)),
      number_(number),
      voter_(std::move(voter)),
      add_(add),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      deadline_(now + kTimeout),
      current_(current),
      retry_at_(now) {
  start_prepare(now);
}

VoterSet VoterReconfiguration::desired_set() const {
  VoterSet desired = current_;
  ++desired.version;
  if (add_) {
    desired.names.push_back(voter_);
    std::sort(desired.names.begin(), desired.names.end());
  } else {
    std::erase(desired.names, voter_);
  }
  return desired;
}

// Restarts from the current set, under a new ballot.
void VoterReconfiguration::start_prepare(Time now) {
  if (current_.has(voter_) == add_)
    return finish(true, "version " + std::to_string(current_.version) + ": " + voter_ +
                            (add_ ? " votes" : " does not vote"));
  if (!is_valid(desired_set()))
    return finish(false, "a group must have 1 to " + std::to_string(kMaxVoters) + " voters");
  stage_ = Stage::kPrepare;
  ballot_ = {++highest_ballot_seen_, self_};
  promised_.clear();
  accepted_.clear();
  reachable_.clear();
  adopted_.clear();
  unfinished_set_.reset();
  unfinished_ballot_ = {};
  send_requests(now);
}

void VoterReconfiguration::finish(bool succeeded, std::string message) {
  if (!outcome_) outcome_ = Outcome{succeeded, std::move(message)};
}

bool VoterReconfiguration::is_quorum(const Agreements& agreements) const {
  const auto with_record = std::count_if(agreements.begin(), agreements.end(),
                                         [](const auto& agreement) { return !agreement.second; });
  return static_cast<std::size_t>(with_record) >= current_.majority() ||
         agreements.size() == current_.names.size();
}

// Sends the stage's request to every voter that has not agreed yet.
void VoterReconfiguration::send_requests(Time now) {
  retry_at_ = now + kRetryInterval;
  ReconfigurationRequest request;
  request.number = number_;
  request.ballot = ballot_;
  request.current = current_;
  switch (stage_) {
    case Stage::kPrepare:
      for (const auto& name : current_.names)
        if (promised_.count(name) == 0) requests_.push_back({name, request});
      // Checks whether the new voter is reachable; it rejects the request because it is not a voter
      // yet.
      if (add_ && reachable_.count(voter_) == 0) requests_.push_back({voter_, request});
      return;
    case Stage::kAccept:
      request.kind = ReconfigurationRequest::Kind::kAccept;
      request.next = next_;
      for (const auto& name : current_.names)
        if (accepted_.count(name) == 0) requests_.push_back({name, request});
      return;
    case Stage::kAdopt:
      request.kind = ReconfigurationRequest::Kind::kAdopt;
      request.next = next_;
      request.accepted_by_all = accepted_.size() == current_.names.size();
      for (const auto& name : next_.names)
        if (adopted_.count(name) == 0) requests_.push_back({name, request});
      return;
  }
}

void VoterReconfiguration::accept_if_ready(Time now) {
  if (!is_quorum(promised_)) return;
  if (unfinished_set_) {
    next_ = *unfinished_set_;
  } else {
    next_ = desired_set();
    const auto reachable =
        std::count_if(next_.names.begin(), next_.names.end(),
                      [this](const auto& name) { return reachable_.count(name) > 0; });
    if (static_cast<std::size_t>(reachable) < next_.majority()) return;
  }
  stage_ = Stage::kAccept;
  send_requests(now);
}

void VoterReconfiguration::on_reply(Time now, const std::string& from,
                                    const ReconfigurationReply& reply) {
  using Kind = ReconfigurationRequest::Kind;
  if (outcome_ || reply.number != number_) return;
  highest_ballot_seen_ = std::max(highest_ballot_seen_, reply.promised_ballot.number);
  if (reply.voters.version > current_.version && stage_ != Stage::kAdopt) {
    // Another driver has changed the voters in the meantime.
    current_ = reply.voters;
    return start_prepare(now);
  }
  if (!reply.ok) last_rejection_ = from + " " + reply.rejection_reason;
  if (reply.kind == Kind::kPrepare && stage_ == Stage::kPrepare) {
    on_prepare_reply(now, from, reply);
  } else if (reply.kind == Kind::kAccept && stage_ == Stage::kAccept) {
    on_accept_reply(now, from, reply);
  } else if (reply.kind == Kind::kAdopt && stage_ == Stage::kAdopt) {
    on_adopt_reply(now, from, reply);
  }
}

void VoterReconfiguration::on_prepare_reply(Time now, const std::string& from,
                                            const ReconfigurationReply& reply) {
  if (from == voter_ && !current_.has(voter_)) reachable_.insert(from);
  if (!reply.ok && reply.promised_ballot > ballot_) {
    // Another driver has a newer ballot: outbid it after a random delay.
    promised_.clear();
    ballot_ = {++highest_ballot_seen_, self_};
    retry_at_ = now + kMinBackoff + std::chrono::milliseconds(random_() % kBackoffRangeMs);
    return;
  }
  const bool is_promise = reply.ok && reply.promised_ballot == ballot_ && current_.has(from);
  if (is_promise) {
    promised_[from] = reply.record_lost;
    reachable_.insert(from);
    if (!reply.accepted_ballot.empty() &&
        (!unfinished_set_ || unfinished_ballot_ < reply.accepted_ballot)) {
      unfinished_set_ = reply.accepted_voters;
      unfinished_ballot_ = reply.accepted_ballot;
    }
  }
  accept_if_ready(now);
}

void VoterReconfiguration::on_accept_reply(Time now, const std::string& from,
                                           const ReconfigurationReply& reply) {
  if (!reply.ok) {
    if (reply.promised_ballot > ballot_) start_prepare(now);
    return;
  }
  if (!(reply.accepted_ballot == ballot_) || !current_.has(from)) return;
  accepted_[from] = reply.record_lost;
  if (!is_quorum(accepted_)) return;
  stage_ = Stage::kAdopt;
  send_requests(now);
}

void VoterReconfiguration::on_adopt_reply(Time now, const std::string& from,
                                          const ReconfigurationReply& reply) {
  if (!(reply.voters == next_) || !next_.has(from)) return;
  adopted_.insert(from);
  if (adopted_.size() < next_.majority()) return;
  notify_removed_voters();
  current_ = next_;
  start_prepare(now);
}

void VoterReconfiguration::notify_removed_voters() {
  ReconfigurationRequest adopt;
  adopt.kind = ReconfigurationRequest::Kind::kAdopt;
  adopt.number = number_;
  adopt.current = current_;
  adopt.next = next_;
  for (const auto& name : current_.names)
    if (!next_.has(name)) requests_.push_back({name, adopt});
}

void VoterReconfiguration::on_timer(Time now) {
  if (outcome_) return;
  if (now >= deadline_) {
    if (stage_ == Stage::kAdopt)
      return finish(false,
                    "the new voters are chosen, but no majority of them has confirmed it yet; "
                    "the others will adopt the change automatically");
    return finish(false,
                  "outcome unknown: no majority of the current voters, or of those after "
                  "the change, answers and is up to date" +
                      (last_rejection_.empty() ? "" : "; " + last_rejection_));
  }
  if (now >= retry_at_) send_requests(now);
}

Time VoterReconfiguration::next_timer_at() const {
  return outcome_ ? Time::max() : std::min(deadline_, retry_at_);
}

}  // namespace balancer::lease

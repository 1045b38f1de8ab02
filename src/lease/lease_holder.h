#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lease/messages.h"

namespace balancer::lease {

// A change to the routes of one address.
struct RouteAction {
  enum class Kind {
    kAnnounce,
    kDeprefer,  // announce with the lowest preference
    kWithdraw,
  };
  Kind kind;
  std::string address;
  Term term;
};

// The state machine of one instance for the lease of one service address. Requests the lease from
// the voters, tracks its expiry, and emits the route changes. Owned by LeaseManager. Performs no
// I/O and reads no clock; `now` is passed to every call and must not decrease.
//
//   state         holds  announced     ends when
//   idle          no     no            wanted, and the delay has passed: candidate
//   candidate     no     no            a majority grants: holder; denied, or timed out: idle, or
//                                      partitioned if too few voters answered
//   holder        yes    yes           hand_over(): handing over; release(), or the lease is about
//                                      to end: releasing
//   handing over  no     yes           the successor announces, or the overlap is over: releasing
//   releasing     no     withdrawing   the routes are withdrawn, or the lease has ended: idle, or
//                                      partitioned if the lease was lost
//   partitioned   no     no            a majority of the voters answers: idle
//
// A candidate begins with a pre-vote (Ongaro 2014, 9.6): it queries the voters for the holder,
// which grants nothing, and requests votes only once a majority reports that there is none. Without
// the pre-vote, a candidate that fails repeatedly could win votes, with a term newer than the
// holder's, from voters that the holder has not reached yet, such as a new one. A holder that
// nevertheless finds a voter with a newer term, left by a failed election, raises its own term
// above it.
//
// The holder counts its lease from before it sent the request, on its own clock; it is shorter than
// a voter's grant by twice the clock drift, so that no two instances hold an address at the same
// true time.
class LeaseHolder {
 public:
  enum class State { kIdle, kCandidate, kHolder, kHandingOver, kReleasing, kPartitioned };

  LeaseHolder(std::string address, InstanceId self, const LeaseTimes& times, VoterSet voters,
              std::uint64_t seed, Time now);

  // ---- commands of the lease manager

  // Sets whether to run for election. `rank`: the number of other candidates that are preferred;
  // the election is delayed in proportion.
  void set_candidacy(Time now, bool wanted, int rank);
  // The holder at this term has reserved the address for this instance. If idle, starts an election
  // without delay and without a pre-vote.
  void on_invitation(Time now, Term term);
  // Hands the address over gracefully to this eligible instance. Has no effect unless this instance
  // is the holder.
  void hand_over(Time now, const std::string& successor);
  // Releases the address gracefully, without a successor, or abandons a candidacy.
  void release(Time now, std::string_view reason);
  // Reports that the successor announces the address.
  void on_successor_announces(Time now);

  // ---- events

  void on_reply(Time now, const std::string& voter, const VoteReply& reply);
  // Reports that the routes are withdrawn.
  void on_withdrawn(Time now);
  // Reports that the address could not be announced.
  void on_announcement_failed(Time now);
  void on_timer(Time now);
  Time next_timer_at() const;  // when on_timer() is due, or Time::max()

  // ---- output, taken by the caller

  struct OutgoingVoteRequest {
    std::string voter;
    VoteRequest request;
  };
  std::vector<OutgoingVoteRequest> take_requests() { return std::exchange(requests_, {}); }
  std::vector<RouteAction> take_route_actions() { return std::exchange(route_actions_, {}); }

  // ---- state

  State state() const { return state_; }
  // Returns whether this instance holds a valid lease at `now`.
  bool holds(Time now) const { return state_ == State::kHolder && now < valid_until_; }
  // Returns whether requests received on the address may be forwarded: while the lease is valid;
  // during a hand-over, for at most the overlap and never beyond the end of the lease; and after a
  // graceful release that the voters or the successor have confirmed, until `drain` after the
  // release began, for requests accepted before the release. An unconfirmed release, as in a
  // partition, does not extend the lease.
  bool may_serve(Time now, Duration drain) const;
  // Returns when the hand-over or graceful release in progress began, or nullopt if there is none.
  std::optional<Time> graceful_release_since() const;
  // Returns whether the state is holder or handing over. The owner keeps listening until the
  // routes are withdrawn.
  bool should_listen() const { return state_ == State::kHolder || state_ == State::kHandingOver; }
  Term term() const { return term_; }               // of the current or most recent lease
  Time state_entered_at() const { return since_; }  // when the current state was entered
  Time valid_until() const { return valid_until_; }
  const std::string& reason() const { return reason_; }  // of the last state change
  const InstanceId& believed_holder() const { return believed_holder_; }
  Term newest_term() const { return newest_term_; }  // the newest that any voter has reported
  // Returns how many voters answered in the last round of requests.
  std::size_t voters_reached() const { return voters_reached_; }
  const VoterSet& voters() const { return voters_; }
  std::uint64_t elections_won() const { return elections_won_; }
  // Returns all state that future decisions depend on, except that of the random number generator.
  // For tests that compare states.
  std::string fingerprint() const;

 private:
  // A request sent to all voters.
  struct Round {
    std::uint64_t number;
    Time sent_at;
    std::set<std::string> granted, answered;  // names of voters
    Duration duration;                        // the shortest of the grants; at most the own one
  };

  void enter(Time now, State state, std::string_view reason);
  void adopt_voter_set(Time now, const VoterSet& voters);
  VoteRequest make_request(VoteRequest::Kind kind);
  void start_round(Time now, VoteRequest::Kind kind);

  void start_election(Time now);
  void request_votes(Time now);
  void abandon_election(Time now, std::string_view reason);
  void become_holder(Time now, const Round& round);
  void renew(Time now);
  void poll_voters(Time now);

  void record_reply(Time now, const std::string& voter, const VoteReply& reply);
  void on_partitioned_reply(Time now, const Round& round);
  void on_pre_vote_reply(Time now, Round& round, const std::string& voter, const VoteReply& reply);
  void on_election_reply(Time now, const Round& round, const VoteReply& reply);
  static void record_grant(Round& round, const std::string& voter, const VoteReply& reply);
  Duration renewal_interval() const;
  void on_renewal_reply(Time now, const Round& round, const VoteReply& reply);
  // Returns whether so many voters have denied the request that no majority can grant it.
  bool is_denied(const Round& round) const {
    return round.answered.size() - round.granted.size() + majority() > voters_.names.size();
  }

  void check_lease(Time now);
  // Withdraws the routes without releasing the lease, which another instance may hold by now.
  void lose_lease(Time now, std::string_view reason);
  // Withdraws the routes immediately, without waiting for a successor.
  void end_ungracefully(Time now, std::string_view reason);
  void withdraw_routes(Time now, std::string_view reason);
  void send_release(const std::string& successor);

  Duration jitter(Duration max);
  Duration rank_delay() const;
  Time releasing_ends() const { return std::max(valid_until_, since_ + times_.withdraw_lead); }
  std::size_t majority() const { return voters_.majority(); }

  const std::string address_;
  const InstanceId self_;
  const LeaseTimes times_;
  VoterSet voters_;
  std::minstd_rand random_;

  State state_ = State::kIdle;
  Time since_;
  std::string reason_ = "started";
  Term term_ = 0;
  std::uint64_t elections_won_ = 0;

  // State reported by the voters.
  Term newest_term_ = 0;
  InstanceId believed_holder_;
  Time known_lease_ends_at_{0};  // end of the current holder's lease
  std::size_t voters_reached_ = 0;

  // Requests to the voters.
  std::uint64_t next_number_ = 1;
  std::deque<Round> open_rounds_;  // oldest first

  // Elections.
  bool is_wanted_ = false;
  int rank_ = 0;
  Time next_election_at_;
  bool is_invited_ = false;  // the holder reserved the address: skip the pre-vote
  bool in_pre_vote_ = false;
  Time election_deadline_{0};

  // The lease.
  Time valid_until_{0};
  Duration lease_duration_;  // as the voters granted it last
  Time next_renewal_at_{0};
  Time raise_term_at_ = Time::max();

  // The end of the lease.
  Time overlap_ends_at_{0};
  std::optional<Time> graceful_since_;
  Time may_serve_until_{0};           // while handing over or releasing
  std::uint64_t release_number_ = 0;  // of the last release sent to the voters
  std::set<std::string> release_acknowledged_by_;
  bool is_release_confirmed_ = false;  // by a majority of the voters, or by the successor
  bool partitioned_after_withdrawal_ = false;

  Time next_poll_at_{0};  // of a partitioned instance

  std::vector<OutgoingVoteRequest> requests_;
  std::vector<RouteAction> route_actions_;
};

// Returns the name for log lines, "lease ADDRESS: STATE".
const char* log_name(LeaseHolder::State state);
// Returns the name for the status JSON, in which kPartitioned is "cut off".
const char* status_name(LeaseHolder::State state);

}  // namespace balancer::lease

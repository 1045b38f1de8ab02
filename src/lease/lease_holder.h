#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.h"

namespace balancer::lease {

// One instance's side of one service address: asks the voters, counts its lease, and says what is
// to be announced. No I/O and no clock; `now` comes with every call and never goes back.
//
//   state         may hold  announced  leaves it when
//   idle          no        no         wanted, and it is time: candidate
//   candidate     no        no         a majority grants: holder; it cannot be, or time is up:
//   idle,
//                                      or cut off if too few voters answered
//   holder        yes       yes        told to hand over: handing over; told to release, or the
//                                      lease is near its end: releasing
//   handing over  no        yes        the successor announces, or the overlap is over: releasing
//   releasing     no        withdrawn  the carrier has withdrawn, or the lease is over: idle, or
//   cut
//                                      off
//   cut off       no        no         a majority of the voters answers: idle
//
// A candidate first asks who holds it, which promises nothing, and for votes only once a majority
// says that nobody does (Raft's pre-vote, Ongaro 2014, 9.6): otherwise one that tries in vain again
// and again would win voters over that the holder has not reached yet, a new one say, with terms
// that are newer than the holder's. A voter that has heard a newer term all the same, from a race
// that was lost, is won back by the holder under a newer term still.
//
// A lease counts from before it was asked for, by its holder's own clock, and is shorter than a
// voter's promise by twice the drift: so no two instances hold an address at one true time.
class LeaseHolder {
 public:
  enum class State { kIdle, kCandidate, kHolder, kHandingOver, kReleasing, kCutOff };

  LeaseHolder(std::string address, Holder self, const LeaseTimes& times, Voters voters,
              std::uint64_t seed, Time now);

  // ---- told by whoever decides which instance is to hold it

  // Whether to try. `rank`: how many others are to be first; each waits a moment longer.
  void want(Time now, bool wanted, int rank);
  // The holder, at this term, gives it up for this instance: asks at once.
  void invite(Time now, Term term);
  // Gives a held one up in order to this instance, which has said that it is able.
  void hand_over(Time now, const std::string& successor);
  void release(Time now, std::string_view why);
  // The successor announces it.
  void on_successor_announces(Time now);

  // ---- told by the network, the carrier and the clock

  void on_reply(Time now, const std::string& voter, const VoteReply& reply);
  void on_withdrawn(Time now);
  // The carrier could not announce it: a failed claim.
  void on_claim_failed(Time now);
  void on_timer(Time now);
  Time next() const;  // when on_timer() is due; Time::max(): not at all

  // ---- what it wants done; taken by the caller

  struct Send {
    std::string voter;
    VoteRequest ask;
  };
  struct RouteAction {
    enum class Kind {
      kAnnounce,
      kFade,
      kWithdraw
    } kind;  // fade: still announced, others preferred
    Term term;
  };
  std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
  std::vector<RouteAction> take_route_actions() { return std::exchange(route_actions_, {}); }

  // ---- what it knows

  State state() const { return state_; }
  // Whether it holds a valid lease at this time.
  bool holds(Time now) const { return state_ == State::kHolder && now < valid_until_; }
  // Whether what came to the address may still be sent on. While the lease is valid; while it is
  // handed over, for the overlap at most and never beyond the lease's end; and once the voters, or
  // the successor, have said that they know of the end, what it had accepted has `drain` more. One
  // that is cut off while it gives up in order is not known to have, and has its lease and no more.
  bool may_serve(Time now, Duration drain) const {
    return holds(now) ||
           ((state_ == State::kHandingOver || state_ == State::kReleasing) &&
            now < serves_until_) ||
           (in_order_at_ && end_known_ && now < *in_order_at_ + drain);
  }
  // Since when it has been giving up in order, while it may still be listened on.
  std::optional<Time> giving_up_since() const {
    return state_ == State::kHandingOver || state_ == State::kReleasing ? in_order_at_
                                                                        : std::nullopt;
  }
  // Whether the address is to be listened on: from the claim to the withdrawal.
  bool listens() const { return state_ == State::kHolder || state_ == State::kHandingOver; }
  Term term() const { return term_; }
  Time since() const { return since_; }  // of the present state
  Time valid_until() const { return valid_until_; }
  const std::string& why() const { return why_; }  // the last change
  const Holder& believed_holder() const { return believed_; }
  Term newest_term() const { return newest_; }
  std::size_t voters_reached() const { return reached_; }  // by the last round
  const Voters& voters() const { return voters_; }
  std::uint64_t lease_holders() const { return lease_holders_; }
  // All that its further conduct follows from, but for chance; for tests that walk all states.
  std::string fingerprint() const;

 private:
  struct Round {
    std::uint64_t number;
    Time asked_at;
    std::set<std::string> granted, answered;
  };

  void enter(Time now, State state, std::string_view why);
  void begin_election(Time now, bool known_free);
  void ask_for_votes(Time now);
  void on_look(Time now, Round& round, const std::string& voter, const VoteReply& reply);
  void begin_round(Time now, VoteRequest::Kind kind);
  void give_up_election(Time now, std::string_view why);
  void renew(Time now);
  void check_lease(Time now);
  void lose(Time now, std::string_view why);
  void stop_announcing(Time now);
  void poll_cut_off(Time now);
  void tell_voters_released(const std::string& successor);
  void take_voters(Time now, const Voters& voters);
  Duration jitter(Duration most);
  Time releasing_ends() const { return std::max(valid_until_, since_ + times_.withdraw_lead); }
  std::size_t majority() const { return voters_.majority(); }

  const std::string address_;
  const Holder self_;
  const LeaseTimes times_;
  Voters voters_;
  std::minstd_rand random_;

  State state_ = State::kIdle;
  Time since_;
  std::string why_ = "started";
  bool wanted_ = false;
  int rank_ = 0;
  Time try_at_;
  bool invited_ = false;         // the holder keeps it for this instance
  bool looking_ = false;         // a candidate that has not asked for votes yet
  Time raise_at_ = Time::max();  // when the holder takes a newer term
  Term term_ = 0;                // of the present or last tenure
  Term newest_ = 0;              // heard of
  Holder believed_;
  Time free_at_{0};  // when what is known of its present holder's lease has run out
  std::uint64_t next_number_ = 1;
  std::deque<Round> rounds_;  // out, oldest first
  Time election_ends_{0};
  Time renew_at_{0};
  Time valid_until_{0};
  Time overlap_ends_{0};
  Time poll_at_{0};
  std::optional<Time> in_order_at_;
  Time serves_until_{0};       // of an address that is being given up
  std::uint64_t release_ = 0;  // number of the ask that told of the end
  std::set<std::string> release_heard_;
  bool end_known_ = false;     // by a majority of the voters, or by the successor
  bool cut_off_next_ = false;  // after the withdrawal
  std::size_t reached_ = 0;
  std::uint64_t lease_holders_ = 0;
  std::vector<Send> sends_;
  std::vector<RouteAction> route_actions_;
};

const char* name_of(LeaseHolder::State state);

}  // namespace balancer::lease

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lease/address_assignment.h"
#include "lease/lease_holder.h"
#include "lease/messages.h"

namespace balancer::lease {

// What one instance knows of another, from gossip.
struct Peer {
  std::string name;
  bool eligible = false;
  Time eligible_since{0};                  // when `eligible` last changed, as seen here
  std::map<std::string, Term> held_terms;  // by address that it announces
};

struct LeaseManagerSettings {
  std::vector<AddressPreference> addresses;
  LeaseTimes times;
  // How long an instance must have been eligible before an address is moved to it. Default: 5 s.
  Duration settle_time{std::chrono::seconds(5)};
  // Shortest time between two moves of one address for a better assignment. Default: 10 s.
  Duration min_move_interval{std::chrono::seconds(10)};
  // How many of the best instances stand for election for an address. Default: 2.
  int max_candidates = 2;
};

// All service addresses at one instance: which it stands for election for, keeps and hands over,
// and to whom. No I/O and no clock; `now` comes with every call and never goes back.
class LeaseManager {
 public:
  LeaseManager(const LeaseManagerSettings& settings, InstanceId self, const VoterSet& voters,
               std::uint64_t seed, Time now);

  // ---- events

  // All other members that are alive.
  void on_peers(Time now, const std::vector<Peer>& peers);
  // Whether this instance can serve; `reason` if it cannot.
  void on_eligible(Time now, bool eligible, std::string_view reason);
  void on_reply(Time now, const std::string& voter, const VoteReply& reply);
  void on_transfer_message(Time now, const std::string& from, const TransferMessage& message);
  // The address is announced, is withdrawn, or could not be announced.
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_claim_failed(Time now, const std::string& address);
  void on_timer(Time now);
  Time next() const;  // when on_timer() is due

  // ---- commands

  // Hands the address over to the instance `to`, or to the best one if `to` is empty. Returns why
  // it cannot, or an empty string.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Graceful shutdown: hands every address over, or releases it. Done once is_idle().
  void leave(Time now);

  // ---- output, taken by the caller

  struct OutgoingTransfer {
    std::string to;  // an instance's name
    TransferMessage message;
  };
  std::vector<LeaseHolder::OutgoingVoteRequest> take_requests();
  std::vector<OutgoingTransfer> take_transfers() { return std::exchange(transfers_, {}); }
  std::vector<RouteAction> take_route_actions();

  // ---- state

  // Null if there is no such address.
  const LeaseHolder* lease_holder(const std::string& address) const;
  const std::map<std::string, LeaseHolder>& lease_holders() const { return lease_holders_; }
  // The terms of the addresses that it announces.
  std::map<std::string, Term> held_terms() const;
  bool eligible() const { return eligible_; }
  // Nothing is announced, and nothing remains to be withdrawn.
  bool is_idle() const;

 private:
  struct Handover {
    std::string to;
    Time retry_at;  // when the invitation is sent again
  };

  void review(Time now);
  void review_held(Time now, const std::string& address, LeaseHolder& lease_holder,
                   const std::vector<std::string>& ranking);
  std::map<std::string, std::string> known_holders() const;
  void update_assignment(Time now, std::map<std::string, std::string> holders);
  void note_next_settled(Time now, bool eligible, Time since);
  std::vector<EligibleInstance> eligible_instances(Time now) const;
  void hand_over(Time now, const std::string& address, LeaseHolder& lease_holder,
                 const std::string& to);
  void retry_invitations(Time now);

  const LeaseManagerSettings settings_;
  const InstanceId self_;
  std::map<std::string, LeaseHolder> lease_holders_;  // by address
  std::map<std::string, Peer> peers_;                 // by name
  std::map<std::string, Time> last_moved_at_;         // by address
  std::map<std::string, Handover> handovers_;         // by address, in progress
  std::map<std::string, std::string> invited_by_;     // by address: the instance that hands it over
  std::vector<OutgoingTransfer> transfers_;
  bool eligible_ = false;
  bool is_leaving_ = false;
  Time eligible_since_{0};
  std::string ineligible_reason_ = "not ready yet";
  // The last assignment and its inputs, so that it is computed again only if they have changed.
  Assignment assignment_;
  std::vector<EligibleInstance> assigned_instances_;
  std::map<std::string, std::string> assigned_holders_;
  bool peers_changed_ = true;
  Time next_settled_at_{0};  // when the next instance has been eligible for settle_time
  Time next_review_at_;
};

}  // namespace balancer::lease

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

// What this instance knows of another one from gossip.
struct Peer {
  std::string name;
  bool eligible = false;
  Time eligible_since{0};                  // when this instance last saw `eligible` change
  std::map<std::string, Term> held_terms;  // terms of the announced addresses, by address
};

struct LeaseManagerSettings {
  std::vector<AddressPreference> addresses;
  LeaseTimes times;
  // How long an instance must have been eligible before an address is moved to it. Default: 5 s.
  Duration settle_time{std::chrono::seconds(5)};
  // Minimum time between two moves of one address that improve the assignment. Default: 10 s.
  Duration min_move_interval{std::chrono::seconds(10)};
  // How many of the best-ranked instances run for election for an address. Default: 2.
  int max_candidates = 2;
};

// Manages the leases of all service addresses on one instance: decides for which addresses it runs
// for election, which it keeps, and which it hands over to which instance. Performs no I/O and
// reads no clock; `now` is passed to every call and must not decrease.
class LeaseManager {
 public:
  LeaseManager(const LeaseManagerSettings& settings, InstanceId self, const VoterSet& voters,
               std::uint64_t seed, Time now);

  // ---- events

  // Replaces the list of all other members that are alive.
  void on_peers(Time now, const std::vector<Peer>& peers);
  // Reports whether this instance can serve, and the `reason` if it cannot.
  void on_eligible(Time now, bool eligible, std::string_view reason);
  void on_reply(Time now, const std::string& voter, const VoteReply& reply);
  void on_transfer_message(Time now, const std::string& from, const TransferMessage& message);
  // Report that the address is announced, is withdrawn, or could not be announced.
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_announcement_failed(Time now, const std::string& address);
  void on_timer(Time now);
  Time next_timer_at() const;  // when on_timer() is due

  // ---- commands

  // Hands the address over to the instance `to`, or to the best-ranked one if `to` is empty.
  // Returns why the hand-over cannot start, or an empty string.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Shuts down gracefully: hands over or releases every address. Complete once is_idle() returns
  // true.
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

  // Returns null if there is no such address.
  const LeaseHolder* lease_holder(const std::string& address) const;
  const std::map<std::string, LeaseHolder>& lease_holders() const { return lease_holders_; }
  // Returns the terms of the announced addresses, by address.
  std::map<std::string, Term> held_terms() const;
  bool eligible() const { return eligible_; }
  // Returns whether no address is announced and none remains to be withdrawn.
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
  void update_next_settled_at(Time now, bool eligible, Time since);
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
  std::map<std::string, std::string> invited_by_;     // by address: the instance handing it over
  std::vector<OutgoingTransfer> transfers_;
  bool eligible_ = false;
  bool is_leaving_ = false;
  Time eligible_since_{0};
  std::string ineligible_reason_ = "not ready yet";
  // The last assignment and its inputs; it is recomputed only if these have changed.
  Assignment assignment_;
  std::vector<EligibleInstance> assigned_instances_;
  std::map<std::string, std::string> assigned_holders_;
  bool peers_changed_ = true;
  Time next_settled_at_{0};  // when the next instance becomes settled
  Time next_review_at_;
};

}  // namespace balancer::lease

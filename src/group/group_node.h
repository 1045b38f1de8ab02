#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "group/voter_record_store.h"
#include "lease/lease_manager.h"
#include "lease/voter.h"
#include "lease/voter_reconfiguration.h"
#include "membership/membership_protocol.h"
#include "proto/group_wire.h"

namespace balancer::group {

struct GroupNodeSettings {
  std::string name;               // of this instance; unique in the group
  std::string endpoint;           // at which others reach it, such as "127.0.0.1:7946"
  std::uint64_t incarnation = 0;  // larger with each start under this name
  membership::MembershipSettings membership;
  lease::LeaseManagerSettings lease_manager;  // without addresses if it only votes
  lease::VoterSet initial_voters;             // of a new group
  bool may_hold_leases = true;                // false if it only votes. Default: true
};

// A member of a group of balancers. Passes messages and events between membership, the lease
// manager, the voter, and a reconfiguration of the voters that an operator has requested. Performs
// no I/O and reads no clock; `now` is passed to every call and must not decrease. The owner
// transports the datagrams, stores the voter's record, and performs the route actions.
class GroupNode {
 public:
  // `record`: the voter's record on disk, or nullopt if there is none. `record_store` must outlive
  // this object.
  GroupNode(const GroupNodeSettings& settings, const std::optional<lease::VoterRecord>& record,
            VoterRecordStore& record_store, std::uint64_t seed, Time now);

  // ---- events

  // `endpoint`: the address that the datagram came from. Its sender must have been authenticated.
  void on_datagram(Time now, const std::string& endpoint, const Datagram& datagram);
  // Reports whether this instance can serve, and the `reason` if it cannot.
  void on_eligible(Time now, bool eligible, std::string_view reason);
  // Report that the address is announced, is withdrawn, or could not be announced.
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_announcement_failed(Time now, const std::string& address);
  void on_timer(Time now);
  Time next_timer_at() const;  // when on_timer() is due
  // Replaces the voter by one that starts with this record. For a record that could not be read at
  // the start and now can be: nothing could be saved until now, and therefore nothing was granted.
  void restore_voter(Time now, const std::optional<lease::VoterRecord>& record);

  // ---- commands

  // Shuts down gracefully: hands over or releases all addresses. Complete once is_idle() returns
  // true.
  void leave(Time now);
  // Notifies other members that this one has left. It takes no part in membership afterwards.
  void announce_departure(Time now);
  // Hands the address over to the instance `to`, or to the best-ranked one if `to` is empty.
  // Returns why the hand-over cannot start, or an empty string.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Adds a voter, or removes one. Calls `done` once, with one line for the operator: within
  // VoterReconfiguration::kTimeout, or before returning if the change cannot start.
  using ReconfigurationDone = std::function<void(bool succeeded, const std::string& message)>;
  void reconfigure_voters(Time now, const std::string& name, bool add, ReconfigurationDone done);

  // ---- output, taken by the owner

  struct OutgoingDatagram {
    std::string endpoint;
    std::string to;  // a member's name; empty if only the endpoint is known
    decltype(Datagram::body) body;
  };
  std::vector<OutgoingDatagram> take_datagrams();
  std::vector<lease::RouteAction> take_route_actions() {
    return lease_manager_.take_route_actions();
  }
  // Returns the log lines since the last call.
  std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

  // ---- state

  const membership::MembershipProtocol& membership() const { return membership_; }
  const lease::LeaseManager& lease_manager() const { return lease_manager_; }
  // Never null: a member that is not a voter has a record too, because it may become one.
  const lease::Voter* voter() const { return &*voter_; }
  // Returns the newest set of voters that this instance knows of.
  const lease::VoterSet& voters() const { return voters_; }
  // Returns whether no address is announced and none remains to be withdrawn.
  bool is_idle() const { return lease_manager_.is_idle(); }
  // Returns whether another process with this name has a later incarnation; this process then hands
  // over all addresses.
  bool superseded() const { return membership_.superseded(); }

 private:
  // The eligibility that a peer reports, and since when it has reported it.
  struct PeerEligibility {
    std::uint64_t incarnation = 0;
    bool eligible = false;
    Time since{0};
  };

  void process_pending(Time now);
  void send_to(const std::string& name, decltype(Datagram::body) body);

  void on_body(Time now, const Datagram& datagram);
  void on_vote_request(Time now, const std::string& from, const lease::VoteRequest& request);
  void on_vote_reply(Time now, const std::string& from, const lease::VoteReply& reply);
  void on_reconfiguration_request(Time now, const std::string& from,
                                  const lease::ReconfigurationRequest& request);
  void on_reconfiguration_reply(Time now, const std::string& from,
                                const lease::ReconfigurationReply& reply);

  // Returns false if a decision of the voter is not on disk; no reply may then be sent.
  bool save_record();
  bool is_voter() const { return voter_->record().voters.has(settings_.name); }
  void record_voter_set(const std::string& voter, const lease::VoterSet& voters);
  void update_lagging_voters(Time now);
  void drive_reconfiguration(Time now);

  std::vector<lease::Peer> collect_peers(Time now);
  void log_state_changes();

  const GroupNodeSettings settings_;
  VoterRecordStore& record_store_;
  membership::MembershipProtocol membership_;
  lease::LeaseManager lease_manager_;
  std::optional<lease::Voter> voter_;  // always set; optional so that it can be replaced
  lease::VoterSet voters_;
  std::map<std::string, lease::VoterSet> reported_sets_;  // by voter: the set that it last reported
  Time next_lagging_update_at_{0};
  std::uint64_t seen_revision_ = 0;                                 // of the membership
  std::map<std::string, PeerEligibility> peer_eligibility_;         // by name
  std::map<std::string, lease::LeaseHolder::State> logged_states_;  // by address
  std::optional<lease::VoterReconfiguration> reconfiguration_;      // in progress
  ReconfigurationDone reconfiguration_done_;
  bool is_record_unsaved_ = false;  // it is newer than what is on disk
  bool has_save_failed_ = false;    // and could not be written at the last attempt
  std::vector<OutgoingDatagram> datagrams_;
  std::vector<Datagram> loopback_;  // from this instance to itself
  std::vector<std::string> log_lines_;
};

}  // namespace balancer::group

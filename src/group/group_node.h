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
  std::string endpoint;           // where others reach it, such as "127.0.0.1:7946"
  std::uint64_t incarnation = 0;  // larger with each start under this name
  membership::MembershipSettings membership;
  lease::LeaseManagerSettings lease_manager;  // without addresses for a mere voter
  lease::VoterSet initial_voters;             // of a new group
  bool may_hold_leases = true;                // false for a mere voter. Default: true
};

// One member of a group of balancers: passes messages and events between membership, the leases of
// its addresses, its vote, and a reconfiguration of the voters that an operator has asked it for.
// No I/O and no clock; `now` comes with every call and never goes back. The owner carries
// datagrams, stores the voter's record, and carries out route actions.
class GroupNode {
 public:
  // `record`: the voter's record on disk, if there is one. `record_store` outlives this.
  GroupNode(const GroupNodeSettings& settings, const std::optional<lease::VoterRecord>& record,
            VoterRecordStore& record_store, std::uint64_t seed, Time now);

  // ---- events

  // `endpoint`: where the datagram came from. Its sender must have been authenticated.
  void on_datagram(Time now, const std::string& endpoint, const Datagram& datagram);
  // Whether this instance can serve; `reason` if it cannot.
  void on_eligible(Time now, bool eligible, std::string_view reason);
  // The address is announced, is withdrawn, or could not be announced.
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_claim_failed(Time now, const std::string& address);
  void on_timer(Time now);
  Time next() const;  // when on_timer() is due
  // The voter's record could not be read at the start, and now can be: the voter continues as if it
  // had just started with it. Nothing was saved until now, and so nothing was granted.
  void restore_voter(Time now, const std::optional<lease::VoterRecord>& record);

  // ---- commands

  // Graceful shutdown: hands over or releases all addresses. Done once is_idle().
  void leave(Time now);
  // Tells other members that this one has left; it takes no part in membership from then on.
  void announce_departure(Time now);
  // Hands the address over to the instance `to`, or to the best one if `to` is empty. Returns why
  // it cannot, or an empty string.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Adds a voter, or removes one. `done` is called once, with one line for the operator, within
  // VoterReconfiguration::kTimeout; if it cannot begin, before this returns.
  using ReconfigurationDone = std::function<void(bool succeeded, const std::string& message)>;
  void change_voters(Time now, const std::string& name, bool add, ReconfigurationDone done);

  // ---- output, taken by the owner

  struct OutgoingDatagram {
    std::string endpoint;
    std::string to;  // a member's name; empty where only the endpoint is known
    decltype(Datagram::body) body;
  };
  std::vector<OutgoingDatagram> take_datagrams();
  std::vector<lease::RouteAction> take_route_actions() {
    return lease_manager_.take_route_actions();
  }
  // Lines for the log.
  std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

  // ---- state

  const membership::MembershipProtocol& membership() const { return membership_; }
  const lease::LeaseManager& lease_manager() const { return lease_manager_; }
  // Never null: an instance that is no voter has a record too, as it may become one.
  const lease::Voter* voter() const { return &*voter_; }
  // The newest set of voters that this instance has heard of.
  const lease::VoterSet& voters() const { return voters_; }
  // Nothing is announced, and nothing remains to be withdrawn.
  bool is_idle() const { return lease_manager_.is_idle(); }
  // Another process with this name has a later incarnation: this one hands everything over.
  bool superseded() const { return membership_.superseded(); }

 private:
  // Since when a peer has said what it says of its eligibility.
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

  // False: a decision of the voter is not on disk, and nothing may be answered.
  bool save_record();
  bool is_voter() const { return voter_->record().voters.has(settings_.name); }
  void note_voter_set(const std::string& voter, const lease::VoterSet& voters);
  void update_lagging_voters(Time now);
  void drive_reconfiguration(Time now);

  std::vector<lease::Peer> peers(Time now);
  void log_state_changes();

  const GroupNodeSettings settings_;
  VoterRecordStore& record_store_;
  membership::MembershipProtocol membership_;
  lease::LeaseManager lease_manager_;
  std::optional<lease::Voter> voter_;  // always set; optional so that it can be replaced
  lease::VoterSet voters_;
  std::map<std::string, lease::VoterSet> reported_sets_;  // by voter: the set it last said it uses
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

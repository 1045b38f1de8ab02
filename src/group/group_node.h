#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/lease_manager.h"
#include "lease/voter.h"
#include "lease/voter_reconfiguration.h"
#include "membership/membership_protocol.h"
#include "proto/group_wire.h"

// One member of a group of balancers: membership, its service addresses and, where it votes, its
// vote, brought together. No I/O and no clock: whoever owns it carries datagrams, keeps the voter's
// record, announces and withdraws.
namespace balancer::group {

struct GroupNodeSettings {
  std::string name, endpoint;
  std::uint64_t life = 0;  // larger with each start under this name
  membership::GroupSettings group;
  lease::LeaseManagerSettings lease_manager;  // without addresses: it votes, or only watches
  lease::Voters founding;                     // the voters of a new group
  bool serves = true;                         // false: a voter that holds nothing
};

// Where a voter's record is kept. False: it is not on disk, and nothing may be answered.
class Memory {
 public:
  virtual ~Memory() = default;
  virtual bool keep(const lease::VoterRecord& record) = 0;
};

class GroupNode {
 public:
  // `remembered`: the record on disk, if there is one. `memory` outlives it.
  GroupNode(const GroupNodeSettings& settings, const std::optional<lease::VoterRecord>& remembered,
            Memory& memory, std::uint64_t seed, Time now);

  // ---- told
  void on_datagram(Time now, const std::string& endpoint, const Datagram& datagram);
  void on_eligible(Time now, bool eligible, std::string_view why);
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_claim_failed(Time now, const std::string& address);
  void on_timer(Time now);
  // The voter's record could not be read at the start, and can be now. It votes from here on as if
  // it had just started with it. Until then nothing was kept, and so nothing promised.
  void restore_voter(Time now, const std::optional<lease::VoterRecord>& remembered);
  Time next() const;
  // Gives all up in order; done once idle().
  void leave(Time now);
  // Tells the others that it goes; nothing more is sent behind it.
  void end(Time now);

  // Hands the address over to this instance, or to the best. Returns why not, or nothing.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Adds the voter, or takes it out. `done` hears the outcome, one line, within some seconds.
  void change_voters(Time now, const std::string& name, bool add,
                     std::function<void(bool done, const std::string& line)> done);

  // ---- what is to be done
  struct Send {
    std::string endpoint, to;
    decltype(Datagram::body) body;
  };
  std::vector<Send> take_sends();
  std::vector<lease::LeaseManager::RouteAction> take_route_actions() {
    return lease_manager_.take_route_actions();
  }
  // What operators should read, one line each.
  std::vector<std::string> take_lines() { return std::exchange(lines_, {}); }

  // ---- known
  const membership::MembershipProtocol& group() const { return group_; }
  const lease::LeaseManager& lease_manager() const { return lease_manager_; }
  const lease::Voter* voter() const { return voter_ ? &*voter_ : nullptr; }
  const lease::Voters& voters() const { return voters_; }
  bool idle() const { return lease_manager_.idle(); }
  bool superseded() const { return group_.superseded(); }

 private:
  void settle(Time now);
  void send_to(const std::string& name, decltype(Send::body) body);
  void take(Time now, const Datagram& datagram);
  bool keep_record();
  void answer(Time now, const std::string& from, const lease::VoteRequest& ask);
  void hear_of(const std::string& voter, const lease::Voters& voters);
  void mend_voters(Time now);
  void drive_change(Time now);
  std::vector<lease::Peer> peers(Time now);
  void note_states();

  const GroupNodeSettings settings_;
  Memory& memory_;
  membership::MembershipProtocol group_;
  lease::LeaseManager lease_manager_;
  std::optional<lease::Voter> voter_;
  lease::Voters voters_;                       // the newest that was heard of
  std::map<std::string, lease::Voters> told_;  // what each voter last said that it goes by
  Time mend_at_{0};
  std::uint64_t seen_revision_ = 0;
  struct Eligibility {
    std::uint64_t life = 0;
    bool eligible = false;
    Time since{0};
  };
  std::map<std::string, Eligibility> eligibilities_;
  std::map<std::string, lease::LeaseHolder::State> states_;
  std::optional<lease::VoterReconfiguration> change_;
  std::function<void(bool done, const std::string& line)> changed_;
  bool unkept_ = false;  // the voter's record is newer than what is on disk
  bool mute_ = false;    // and could not be written
  std::vector<Send> sends_;
  std::vector<Datagram> own_;  // to itself
  std::vector<std::string> lines_;
};

}  // namespace balancer::group

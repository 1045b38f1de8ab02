#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lease/address_assignment.h"
#include "lease/lease_holder.h"

namespace balancer::lease {

// What one instance knows of another, by its own word.
struct Peer {
  std::string name;
  bool eligible = false;
  Time eligible_since{0};             // as seen here
  std::map<std::string, Term> holds;  // addresses that it announces
};

// Between an instance that hands over and its successor.
struct TransferMessage {
  enum class Kind : std::uint8_t {
    kInvite,     // the address is kept for you: ask for it now
    kAnnounces,  // the one that was invited has it, and it is announced
  };
  Kind kind = Kind::kInvite;
  std::string address;
  Term term = 0;  // of whoever says it
};

struct LeaseManagerSettings {
  std::vector<Wanted> addresses;
  LeaseTimes times;
  // An instance must have been able for so long before anything is moved to it.
  Duration settle{std::chrono::seconds(5)};
  // Between two moves that nothing forces, for each address.
  Duration between_moves{std::chrono::seconds(10)};
  // How many of the best try for an address that they do not hold.
  int candidates = 2;
};

// Every service address at one instance: which it tries for, keeps and gives up, and to whom. No
// I/O and no clock.
class LeaseManager {
 public:
  LeaseManager(const LeaseManagerSettings& settings, Holder self, const Voters& voters,
               std::uint64_t seed, Time now);

  // ---- told
  // Everybody that is well, this instance left out; and whether it can do the work itself.
  void on_peers(Time now, const std::vector<Peer>& peers);
  void on_eligible(Time now, bool eligible, std::string_view why);
  // An operator's wish: hands the address over to this instance, or to the best where none is
  // named. Returns why not, or nothing.
  std::string move(Time now, const std::string& address, const std::string& to);
  // It ends: gives all up in order, the best successors first.
  void leave(Time now);
  void on_reply(Time now, const std::string& voter, const VoteReply& reply);
  void on_tell(Time now, const std::string& from, const TransferMessage& tell);
  // The carrier has announced it, has withdrawn it, or could not claim it.
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_claim_failed(Time now, const std::string& address);
  void on_timer(Time now);
  Time next() const;

  // ---- what is to be done
  struct RouteAction {
    std::string address;
    LeaseHolder::RouteAction what;
  };
  std::vector<LeaseHolder::Send> take_sends();
  struct Told {
    std::string to;
    TransferMessage tell;
  };
  std::vector<Told> take_tells() { return std::exchange(tells_, {}); }
  std::vector<RouteAction> take_route_actions();

  // ---- known
  const LeaseHolder* lease_holder(const std::string& address) const;
  const std::map<std::string, LeaseHolder>& lease_holders() const { return lease_holders_; }
  std::map<std::string, Term> holds() const;  // what it announces
  bool eligible() const { return eligible_; }
  // Nothing is announced any more, and nothing is to be withdrawn.
  bool idle() const;

 private:
  void decide(Time now);
  void hand_over(Time now, const std::string& address, LeaseHolder& lease_holder,
                 const std::string& to);
  std::vector<EligibleInstance> able_instances(Time now) const;
  void deal_again(Time now, std::map<std::string, std::string> holders);

  const LeaseManagerSettings settings_;
  const Holder self_;
  std::map<std::string, LeaseHolder> lease_holders_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Time> moved_;  // when each was last given up for a better place
  struct Handover {
    std::string to;
    Time again_at;
  };
  std::map<std::string, Handover> handing_;        // by address
  std::map<std::string, std::string> invited_by_;  // by address
  std::vector<Told> tells_;
  bool eligible_ = false, leaving_ = false;
  Time able_since_{0};
  std::string why_not_ = "not ready yet";
  // The last deal, and what it followed from: looked at often, and mostly the same.
  std::vector<EligibleInstance> dealt_able_;
  bool peers_changed_ = true;
  Time settles_at_{0};  // when the next of them has been able for long enough
  std::map<std::string, std::string> dealt_holders_;
  std::map<std::string, std::vector<std::string>> dealt_;
  Time look_at_;
};

}  // namespace balancer::lease

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/gossip_queue.h"
#include "membership/messages.h"
#include "structures/time.h"

namespace balancer::membership {

// A member as this instance knows it.
struct Member : MemberUpdate {
  // When the member entered its state or its suspicion was restarted; for this instance, when it
  // last issued a new update about itself.
  Time state_entered_at{0};
};

// Upper bound of MembershipSettings::max_members: more than the number of balancers that the
// project is designed for.
inline constexpr int kMaxMembers = 16'384;

struct MembershipSettings {
  // Endpoints of members to join. Default: none.
  std::vector<std::string> seeds;
  // One member is probed per period, each in turn. Default: 200 ms.
  Duration probe_period{std::chrono::milliseconds(200)};
  // Bounds of the timeout of a direct probe, which between them follows the measured round trips.
  // Defaults: 40 ms, 150 ms.
  Duration min_probe_timeout{std::chrono::milliseconds(40)};
  Duration max_probe_timeout{std::chrono::milliseconds(150)};
  // How many other members are asked to ping a member that has not answered. Default: 3.
  int indirect_probes = 3;
  // Time from suspect to dead: this many probe periods, times the logarithm of the number of
  // members. Default: 3.
  double suspicion_multiplier = 3;
  // Members beyond this number are ignored. Default: 2048; at most kMaxMembers.
  std::size_t max_members = 2048;
  // Maximum number of updates in one message. Default: 8.
  std::size_t max_updates = 8;
  // Updates with more bytes of meta are ignored. Default: 256.
  std::size_t max_meta_bytes = 256;
  // How often the updates of all known members are requested from a random member. Default: 10 s.
  Duration full_sync_interval{std::chrono::seconds(10)};
  // How long dead members are remembered, so that old updates do not revive them. Default: 60 s.
  Duration dead_retention{std::chrono::seconds(60)};
};

// Failure detection and group membership by SWIM (Das, Gupta, Motivala 2002) with its suspicion
// mechanism, and the local health awareness of Lifeguard (Dadgar, Phillips, Currey 2018).
//
// A member that does not answer a direct probe in time is probed through other members. If none of
// them reaches it, it is suspected; it is declared dead if it does not refute the suspicion within
// a time that grows with the size of the group and with this instance's own slowness. Performs no
// I/O, reads no clock and uses no threads; `now` is passed to every call and must not decrease. The
// result is a hint about liveness only: views of members may differ, so no safety property may
// depend on it.
class MembershipProtocol {
 public:
  // `self`: the update that describes this instance to other members.
  MembershipProtocol(const MembershipSettings& settings, const MemberUpdate& self,
                     std::uint64_t seed, Time now);

  // `from`: the authenticated name of the sender. `endpoint`: the address to which replies are
  // sent.
  void on_message(Time now, const std::string& from, const std::string& endpoint,
                  const GossipMessage& message);
  void on_timer(Time now);
  Time next_timer_at() const;  // when on_timer() is due, or Time::max()

  // Replaces the data that this instance publishes about itself, and notifies other members if it
  // has changed.
  void set_meta(Time now, const std::string& meta);
  // Notifies other members that this instance is shutting down gracefully. It sends no probes and
  // answers no pings afterwards.
  void leave(Time now);

  struct OutgoingMessage {
    std::string endpoint;
    GossipMessage message;
  };
  std::vector<OutgoingMessage> take_messages() { return std::exchange(messages_, {}); }

  // Returns all known members by name, including dead ones and this instance.
  const std::map<std::string, Member>& members() const { return members_; }
  // Returns null if there is no member of this name.
  const Member* find(const std::string& name) const;
  // Incremented whenever a member joins, restarts, or changes its state, meta or endpoint.
  std::uint64_t revision() const { return revision_; }
  // Returns whether another process with this instance's name has a later incarnation; this process
  // must then stop serving.
  bool superseded() const { return is_superseded_; }

 private:
  struct Probe {
    std::string name;
    std::uint64_t number = 0;
    Time sent_at{0};
    Time direct_until{0};  // end of the direct probe; the indirect one follows
    Time until{0};         // end of the indirect probe
    bool is_indirect = false;
  };
  // A ping sent on behalf of another member.
  struct RelayedPing {
    std::string requester_endpoint;
    std::uint64_t requester_number;
    Time until;
  };
  // A probe that timed out and whose direct answer may still arrive.
  struct LateProbe {
    std::string name;
    Time sent_at;
  };
  // Smoothed round trip time and its variation in seconds (RFC 6298).
  struct RoundTrip {
    double mean = 0;
    double deviation = 0;
    bool is_known = false;
  };

  Member& self() { return members_.at(name_); }

  void apply(Time now, const MemberUpdate& update);
  void add_member(Time now, const MemberUpdate& update);
  void refute(Time now, const MemberUpdate& update);
  void set_state(Time now, Member& member, MemberState state);
  void update_not_alive(const Member& member);
  void expire_members(Time now);

  void on_ack(Time now, const std::string& from, const GossipMessage& message);
  void on_late_ack(Time now, std::uint64_t number);
  void on_ping_request(Time now, const std::string& endpoint, const GossipMessage& message);

  void send(const std::string& endpoint, GossipMessage message, const std::string& to);
  void send_full_state(const std::string& endpoint);
  // Sends queued updates to random members immediately.
  void send_gossip(std::size_t receivers);
  std::vector<MemberUpdate> updates_for(const std::string& to);
  void join(Time now);
  void request_full_sync(Time now);

  void start_probe(Time now);
  std::optional<std::string> next_to_probe();
  void probe_indirectly();
  void end_probe(Time now, bool answered);
  void record_round_trip(const std::string& name, Duration took);
  Duration probe_timeout(const std::string& name) const;
  Duration suspicion_timeout() const;
  std::size_t live_members() const;
  std::vector<std::string> random_alive_members(std::size_t max, const std::string& except);

  const MembershipSettings settings_;
  const std::string name_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;
  std::set<std::string> not_alive_;  // names; few, so that timers need not iterate over all members
  std::uint64_t revision_ = 1;
  GossipQueue queue_;

  std::vector<std::string> probe_order_;  // left to probe in this round; the next is at the back
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedPing> relayed_pings_;  // by number of this instance's ping
  std::map<std::uint64_t, LateProbe> late_probes_;      // by number of the probe
  std::map<std::string, RoundTrip> round_trips_;        // by name
  std::uint64_t next_number_ = 1;
  Time next_probe_at_;
  Time next_join_at_;
  Time next_full_sync_at_;
  // Lifeguard's local health multiplier: each failed probe increments it, each answered one
  // decrements it down to 0. It lengthens this instance's timeouts.
  int local_health_ = 0;
  bool has_left_ = false;
  bool is_superseded_ = false;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace balancer::membership

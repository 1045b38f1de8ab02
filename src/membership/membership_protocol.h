#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "structures/time.h"

// Who belongs to a group of balancers, who is suspected and who is gone. No I/O, no clock, no
// threads. A hint for liveness only: nothing that must not happen twice rests on it.
namespace balancer::membership {

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// What is said of a member. The newest counts: by life, then by version, then the worse state.
struct Update {
  std::string name;
  std::string endpoint;       // "127.0.0.1:7946"
  std::uint64_t life = 0;     // of its process; a later start has a larger one
  std::uint32_t version = 0;  // within its life; raised by itself only
  State state = State::kAlive;
  std::string meta;  // its own word on what it does, opaque here
};

struct Member : Update {
  Time since{0};        // in this state, as known here
  Time alive_since{0};  // of its present life
};

struct Message {
  enum class Kind : std::uint8_t {
    kPing,     // answer with kAck
    kAck,      // to a ping, own or relayed
    kPingFor,  // ping `target` for me
    kJoin,     // tell me of everybody
    kTold,     // nothing but updates
  };
  Kind kind = Kind::kTold;
  std::uint64_t number = 0;
  std::string target;  // of kPingFor: a name
  std::vector<Update> updates;
};

// The largest bound that an operator may set: with room to spare for a group of all the balancers
// that the project is designed for.
inline constexpr int kMaxMembers = 16'384;

struct GroupSettings {
  std::vector<std::string> seeds;  // endpoints
  // A member is probed each period, another each time.
  Duration period{std::chrono::milliseconds(200)};
  // Bounds on how long an answer may take; between them it follows measured round trips.
  Duration min_wait{std::chrono::milliseconds(40)}, max_wait{std::chrono::milliseconds(150)};
  int indirect = 3;      // others that are asked to probe one that does not answer
  double suspicion = 3;  // periods, times the logarithm of the group's size, until it is dead
  std::size_t max_members = 2048;  // at most kMaxMembers
  std::size_t max_updates = 8;     // in one message
  std::size_t max_meta = 256;
  // Everything is compared with another member this often.
  Duration full_exchange{std::chrono::seconds(10)};
  // Dead ones are remembered for so long, so that old news does not revive them.
  Duration forget{std::chrono::seconds(60)};
};

// SWIM (Das, Gupta, Motivala 2002) with the suspicion of that paper and the awareness of one's own
// slowness of Lifeguard (Dadgar, Phillips, Currey 2018): a member that does not answer in the time
// that its round trips lead to expect is probed through others; one that none of them reaches is
// suspected, and dead only if it has not spoken for itself by the end of a time that grows with the
// group, and with this instance's own lateness.
class MembershipProtocol {
 public:
  MembershipProtocol(const GroupSettings& settings, const Update& self, std::uint64_t seed,
                     Time now);

  // `from`: the name of whoever sent it, as the message's seal has it.
  void on_message(Time now, const std::string& from, const std::string& endpoint,
                  const Message& message);
  void on_timer(Time now);
  Time next() const;
  // Its own word; told to others if it differs.
  void set_meta(Time now, const std::string& meta);
  // Tells others that it goes in order.
  void leave(Time now);

  struct Send {
    std::string endpoint;
    Message message;
  };
  std::vector<Send> take_sends() { return std::exchange(sends_, {}); }

  // All that are known, this one included, by name.
  const std::map<std::string, Member>& members() const { return members_; }
  const Member* find(const std::string& name) const;
  // Goes up whenever a member came, went, or said something else of itself.
  std::uint64_t revision() const { return revision_; }
  // Another process with this one's name has a later life: this one must do nothing more.
  bool superseded() const { return superseded_; }
  // How late this instance is itself, as a factor on its patience with others.
  int lateness() const { return lateness_; }
  Duration wait_for(const std::string& name) const;  // an answer

 private:
  struct Probe {
    std::string name;
    std::uint64_t number = 0;
    Time sent{0}, direct_until{0}, until{0};
    bool indirect = false;
  };
  struct Relay {  // a probe for another
    std::string for_endpoint;
    std::uint64_t their_number;
    Time until;
  };
  struct RoundTrip {
    double mean = 0, deviation = 0;  // seconds; as TCP has them (RFC 6298)
    bool known = false;
  };
  struct News {
    Update update;
    int told = 0;
  };

  Member& self() { return members_.at(name_); }
  void apply(Time now, const Update& update);
  void refute(Time now, const Update& update);
  void spread(const Update& update);
  std::vector<Update> pick_news(const std::string& to);
  void send(const std::string& endpoint, Message message, const std::string& to = {});
  void send_all(Time now, const std::string& endpoint);
  void begin_probe(Time now);
  void end_probe(Time now, bool answered);
  void join(Time now);
  void set_state(Time now, Member& member, State state);
  void note_state(const Member& member);
  void learn(const std::string& name, Duration took);
  std::size_t alive() const;
  Duration suspicion() const;
  std::vector<std::string> some_others(std::size_t n, const std::string& but);

  const GroupSettings settings_;
  const std::string name_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;
  std::set<std::string> unwell_;  // those not alive: few, and looked at with each event
  std::map<std::string, RoundTrip> trips_;
  std::deque<News> news_;
  std::vector<std::string> order_;  // of probes, a round
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;  // by our number
  std::map<std::uint64_t, std::pair<std::string, Time>>
      late_;  // probes whose answer may still come
  std::uint64_t next_number_ = 1;
  Time probe_at_, join_at_, exchange_at_;
  int lateness_ = 0;
  bool left_ = false, superseded_ = false;
  std::uint64_t revision_ = 1;
  std::vector<Send> sends_;
};

}  // namespace balancer::membership

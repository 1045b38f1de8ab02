#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proto/bgp.h"
#include "structures/time.h"

// The state of one BGP peering, after RFC 4271, section 8. No I/O, no clock.
namespace balancer::bgp {

struct SessionSettings {
  std::uint32_t local_as = 0, remote_as = 0;
  std::uint32_t id = 0;                    // our identifier
  Duration hold{std::chrono::seconds(9)};  // proposed; the lower of both sides' counts
  // Between two attempts to connect, at first; it doubles with each failure, up to the other.
  Duration retry{std::chrono::milliseconds(500)}, longest_retry{std::chrono::seconds(30)};
  Duration connect_patience{std::chrono::seconds(3)};
  Duration open_patience{std::chrono::seconds(10)};  // until the peer's OPEN has come
};

// Dials, and takes connections that the peer dials; where both stand the one that the side with the
// higher identifier has dialled is kept (section 6.8). Failed sessions are tried again after ever
// longer pauses. What is written and not taken by the peer for a hold time ends the session (RFC
// 9687), as a router that reads nothing has heard of no withdrawal.
class Session {
 public:
  enum class Way { kOut, kIn };  // who has dialled
  enum class State { kIdle, kConnect, kOpenSent, kOpenConfirm, kEstablished };

  Session(const SessionSettings& settings, std::uint64_t seed, Time now);

  // ---- events
  void on_connected(Time now, Way way);  // ours came up, or theirs was accepted
  void on_closed(Time now, Way way, std::string_view why);
  void on_bytes(Time now, Way way, std::string_view bytes);
  // How much of what was sent on it the peer's system has not taken yet; told after each kSend, and
  // again until it is 0.
  void on_unsent(Time now, Way way, std::size_t bytes);
  void on_timer(Time now);
  Time next() const;
  // Ends in order, with a reason for the peer; nothing is dialled any more.
  void stop(Time now, std::string_view why);

  // What is announced; each is sent in the next messages, or once the session is up.
  void announce(const Prefix& prefix, const Attributes& attributes);
  void withdraw(const Prefix& prefix);

  // ---- what is to be done
  struct Action {
    enum class Kind { kDial, kSend, kClose, kUp, kDown } kind;
    Way way = Way::kOut;
    std::string bytes;  // of kSend; of kDown: why
  };
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

  // ---- known
  State state() const;
  bool established() const { return state() == State::kEstablished; }
  bool has(Way way) const { return of(way).state != State::kIdle; }  // a connection that way
  // All that is announced and withdrawn has left for the peer.
  bool settled() const { return established() && unsent_ == 0; }
  // The peer is late with what it sends thrice in a hold time: it may be out of reach, long before
  // the hold time ends the session.
  bool quiet(Time now) const;
  // When it will be, unless something comes.
  Time quiet_from() const;
  const std::string& last_end() const { return last_end_; }
  Duration hold() const { return hold_; }

 private:
  struct Connection {
    State state = State::kIdle;
    Reader reader;
    std::uint32_t peer_id = 0;
    bool four_octets = false;
    Time waits_until{0};  // for the peer's next message, while there must be one
  };
  Connection& of(Way way) { return connections_[way == Way::kIn]; }
  const Connection& of(Way way) const { return connections_[way == Way::kIn]; }
  static Way other(Way way) { return way == Way::kIn ? Way::kOut : Way::kIn; }

  void send(Way way, std::string bytes);
  void on_message(Time now, Way way, const Message& message);
  void on_open(Time now, Way way, const Open& open);
  void end(Time now, Way way, const std::optional<Notification>& say, std::string why);
  void fail(Time now, std::string why);
  void establish(Time now, Way way);
  void send_route(const Prefix& prefix, const Attributes& attributes);

  const SessionSettings settings_;
  std::minstd_rand random_;
  std::array<Connection, 2> connections_;
  std::optional<Way> up_;
  std::map<Prefix, Attributes> routes_;
  Duration hold_;
  Time dial_at_, keepalive_at_{0}, dial_until_{0}, heard_at_{0};
  std::size_t unsent_ = 0;
  std::optional<Time> unsent_since_;
  int failures_ = 0;
  bool stopped_ = false;
  std::string last_end_;
  std::vector<Action> actions_;
};

const char* name_of(Session::State state);

}  // namespace balancer::bgp

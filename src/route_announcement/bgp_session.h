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

// The state machine of one BGP peering (RFC 4271, section 8). Performs no I/O and reads no clock.
namespace balancer::bgp {

struct SessionSettings {
  std::uint32_t local_as = 0, remote_as = 0;
  std::uint32_t id = 0;                         // local BGP identifier
  Duration hold_time{std::chrono::seconds(9)};  // proposed; the lower of both sides' values applies
  // Delay between two connection attempts: starts at `retry` and doubles with each failure up to
  // `max_retry_delay`.
  Duration initial_retry_delay{std::chrono::milliseconds(500)},
      max_retry_delay{std::chrono::seconds(30)};
  Duration connect_timeout{std::chrono::seconds(3)};
  Duration open_timeout{std::chrono::seconds(10)};  // time limit for the peer's OPEN
};

// One BGP session with a router; owned by Speaker. Dials the peer and accepts connections that the
// peer dials. Of two connections that both receive the peer's OPEN, the one dialled by the side
// with the higher identifier is kept (section 6.8). Failed sessions are retried with exponential
// back-off. A session whose peer has left data unacknowledged for a hold time is closed (RFC 9687):
// a router that reads nothing has not received any withdrawal.
class Session {
 public:
  enum class Direction { kOutbound, kInbound };  // dialled by this side, or by the peer
  enum class State { kIdle, kConnect, kOpenSent, kOpenConfirm, kEstablished };

  Session(const SessionSettings& settings, std::uint64_t seed, Time now);

  // ---- events
  void on_connected(Time now,
                    Direction way);  // the dialled connection is up, or the peer's is accepted
  void on_closed(Time now, Direction way, std::string_view why);
  void on_bytes(Time now, Direction way, std::string_view bytes);
  // Reports how many of the bytes sent on the connection the peer's system has not acknowledged.
  // The owner calls this after each kSend and then repeatedly until `bytes` is 0.
  void on_unacknowledged(Time now, Direction way, std::size_t bytes);
  void on_timer(Time now);
  // When on_timer() is due; Time::max(): not at all.
  Time next_timer_at() const;
  // Closes the session in order, sends the peer `why`, and never dials again.
  void stop(Time now, std::string_view why);

  // Changes the set of announced routes. The changes are sent at once if the session is
  // established, else once it is.
  void announce(const Prefix& prefix, const Attributes& attributes);
  void withdraw(const Prefix& prefix);

  // ---- actions for the owner to carry out, in order
  struct Action {
    enum class Kind { kDial, kSend, kClose, kUp, kDown } kind;
    Direction way = Direction::kOutbound;
    std::string bytes;  // kSend: the data; kDown: the reason
  };
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

  // ---- state
  State state() const;
  bool established() const { return state() == State::kEstablished; }
  // Whether a connection of that direction exists or is being dialled.
  bool has(Direction way) const { return of(way).state != State::kIdle; }
  // Whether the peer's system has acknowledged all announcements and withdrawals.
  bool all_acknowledged() const { return established() && unacknowledged_ == 0; }
  // Whether the peer's next message is overdue. A peer sends three in a hold time, so that an
  // unreachable one is detected long before the hold time ends the session.
  bool is_overdue(Time now) const;
  // When is_overdue() becomes true unless a message arrives; Time::max() without a hold time or
  // session.
  Time overdue_at() const;
  const std::string& last_end_reason() const { return last_end_reason_; }
  Duration hold() const { return hold_; }

 private:
  struct Connection {
    State state = State::kIdle;
    MessageReader reader;
    std::uint32_t peer_id = 0;
    bool four_octets = false;
    Time receive_deadline{0};  // when the hold time or the wait for the peer's OPEN expires
  };
  Connection& of(Direction way) { return connections_[way == Direction::kInbound]; }
  const Connection& of(Direction way) const { return connections_[way == Direction::kInbound]; }
  static Direction other(Direction way) {
    return way == Direction::kInbound ? Direction::kOutbound : Direction::kInbound;
  }

  void send(Direction way, std::string bytes);
  void on_message(Time now, Direction way, const Message& message);
  void on_open(Time now, Direction way, const Open& open);
  void end(Time now, Direction way, const std::optional<Notification>& notification,
           std::string why);
  void schedule_retry(Time now, std::string why);
  void establish(Time now, Direction way);
  void send_route(const Prefix& prefix, const Attributes& attributes);

  const SessionSettings settings_;
  std::minstd_rand random_;
  std::array<Connection, 2> connections_;
  std::optional<Direction> active_direction_;
  std::map<Prefix, Attributes> routes_;
  Duration hold_;
  Time next_dial_at_, keepalive_at_{0}, connect_deadline_{0}, received_at_{0};
  std::size_t unacknowledged_ = 0;
  std::optional<Time> unacknowledged_since_;
  int failures_ = 0;
  bool stopped_ = false;
  std::string last_end_reason_;
  std::vector<Action> actions_;
};

const char* name_of(Session::State state);

}  // namespace balancer::bgp

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "route_announcement/bgp_session.h"

namespace balancer::bgp {

struct SpeakerSettings {
  std::uint32_t local_as = 0;
  std::uint32_t next_hop = 0;
  std::vector<std::uint32_t> communities;
  // How many routers must acknowledge an announcement for the address to count as announced.
  std::size_t min_routers = 1;
  // Time limit for those acknowledgements; an announcement that exceeds it has failed.
  Duration claim_timeout{std::chrono::milliseconds(500)};
};

// Announces service addresses to several routers, over one Session each, and reports when an
// address has been announced or withdrawn. Performs no I/O and reads no clock.
//
// The announcement carries the term of the lease, so that a router that receives two announcements
// of an address selects the newer one at once: a higher term gives a higher LOCAL_PREF and a lower
// MED, which routers of another AS compare. A route that is about to be withdrawn carries the
// community GRACEFUL_SHUTDOWN (RFC 8326) and the lowest preference.
class Speaker {
 public:
  Speaker(const SpeakerSettings& settings, const std::vector<SessionSettings>& routers,
          std::uint64_t seed, Time now);

  // ---- addresses
  void announce(Time now, const std::string& address, const Prefix& prefix, std::uint64_t term);
  // Keeps the route announced with the lowest preference, so that routers prefer a route
  // from any other instance.
  void deprefer(Time now, const std::string& address);
  void withdraw(Time now, const std::string& address);
  // Closes all sessions with a Cease notification; the routers then remove the routes learned from
  // this speaker.
  void stop(Time now, std::string_view why);

  // ---- events of one router's session; see Session
  std::size_t routers() const { return sessions_.size(); }
  const Session& session(std::size_t router) const { return sessions_[router]; }
  void on_connected(Time now, std::size_t router, Session::Direction way);
  void on_closed(Time now, std::size_t router, Session::Direction way, std::string_view why);
  void on_bytes(Time now, std::size_t router, Session::Direction way, std::string_view bytes);
  void on_unacknowledged(Time now, std::size_t router, Session::Direction way, std::size_t bytes);
  void on_timer(Time now);
  // Returns when on_timer() is due, or Time::max() if it is not.
  Time next_timer_at() const;

  // ---- actions for the owner to carry out, in order
  using Action = std::pair<std::size_t, Session::Action>;  // index of the router, action
  std::vector<Action> take_actions();

  // ---- results per address
  struct Event {
    enum class Kind { kAnnounced, kWithdrawn, kFailed } kind;
    std::string address;
  };
  std::vector<Event> take_events() { return std::exchange(events_, {}); }

  // Number of routers with an established session whose next message is not overdue.
  std::size_t routers_up(Time now) const;

 private:
  enum class Stage { kAnnouncing, kAnnounced, kWithdrawing };
  struct Route {
    Prefix prefix;
    std::uint64_t term = 0;
    Stage stage = Stage::kAnnouncing;
    Time announcement_deadline{0};  // while kAnnouncing
    bool depreferred = false;
  };

  Attributes attributes(const Route& route, std::size_t router) const;
  void send_route(const Route& route);
  void update_routes(Time now);

  const SpeakerSettings settings_;
  std::vector<SessionSettings> routers_;
  std::deque<Session> sessions_;
  std::map<std::string, Route> routes_;
  std::vector<Event> events_;
};

}  // namespace balancer::bgp

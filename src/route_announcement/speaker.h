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
  // An address counts as announced once so many routers have taken it.
  std::size_t routers_needed = 1;
  // Without that by then the claim has failed.
  Duration claim_patience{std::chrono::milliseconds(500)};
};

// Announces service addresses to several routers, each by a session of its own, and says when an
// address is announced and when it is withdrawn. No I/O, no clock.
//
// Each tenure's term goes into what is announced, so that a router that hears two follows the newer
// at once: LOCAL_PREF grows with it, and MED, which the routers of another AS go by, falls. One
// that is about to go carries the community of RFC 8326 and the least preference.
class Speaker {
 public:
  Speaker(const SpeakerSettings& settings, const std::vector<SessionSettings>& routers,
          std::uint64_t seed, Time now);

  // ---- addresses
  void announce(Time now, const std::string& address, const Prefix& prefix, std::uint64_t term);
  // Still announced, others preferred.
  void fade(Time now, const std::string& address);
  void withdraw(Time now, const std::string& address);
  // All sessions end in order, and with them what they have announced.
  void stop(Time now, std::string_view why);

  // ---- events of one router's session: as Session has them
  std::size_t routers() const { return sessions_.size(); }
  const Session& session(std::size_t router) const { return sessions_[router]; }
  void on_connected(Time now, std::size_t router, Session::Way way);
  void on_closed(Time now, std::size_t router, Session::Way way, std::string_view why);
  void on_bytes(Time now, std::size_t router, Session::Way way, std::string_view bytes);
  void on_unsent(Time now, std::size_t router, Session::Way way, std::size_t bytes);
  void on_timer(Time now);
  Time next() const;

  // ---- what is to be done
  using Action = std::pair<std::size_t, Session::Action>;  // router
  std::vector<Action> take_actions();

  // ---- what has become of addresses
  struct Event {
    enum class Kind { kAnnounced, kWithdrawn, kFailed } kind;
    std::string address;
  };
  std::vector<Event> take_events() { return std::exchange(events_, {}); }

  // Routers that take announcements now, as far as can be told.
  std::size_t up(Time now) const;

 private:
  enum class Stage { kClaiming, kAnnounced, kWithdrawing };
  struct Route {
    Prefix prefix;
    std::uint64_t term = 0;
    Stage stage = Stage::kClaiming;
    Time until{0};  // of a claim
    bool faded = false;
  };

  Attributes attributes(const Route& route, std::size_t router) const;
  void tell(const Route& route);
  void settle(Time now);

  const SpeakerSettings settings_;
  std::vector<SessionSettings> routers_;
  std::deque<Session> sessions_;
  std::map<std::string, Route> routes_;
  std::vector<Event> events_;
};

}  // namespace balancer::bgp

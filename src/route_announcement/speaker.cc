#include "route_announcement/speaker.h"

#include <algorithm>
#include <limits>

namespace balancer::bgp {
namespace {

constexpr std::uint64_t kMaxPreference = std::numeric_limits<std::uint32_t>::max();

}  // namespace

Speaker::Speaker(const SpeakerSettings& settings, const std::vector<SessionSettings>& routers,
                 std::uint64_t seed, Time now)
    : settings_(settings), routers_(routers) {
  for (const SessionSettings& r : routers_) sessions_.emplace_back(r, ++seed, now);
}

Attributes Speaker::attributes(const Route& route, std::size_t router) const {
  Attributes a;
  a.next_hop = settings_.next_hop;
  a.communities = settings_.communities;
  // Terms count tenures, so that none comes close to 2^32.
  const auto preference = static_cast<std::uint32_t>(std::min(route.term, kMaxPreference));
  if (routers_[router].remote_as == settings_.local_as) {
    a.local_pref = route.depreferred ? 0 : preference;
  } else {
    a.as_path = {settings_.local_as};
  }
  a.med =
      static_cast<std::uint32_t>(route.depreferred ? kMaxPreference : kMaxPreference - preference);
  if (route.depreferred) a.communities.push_back(kGracefulShutdown);
  return a;
}

void Speaker::send_route(const Route& route) {
  for (std::size_t r = 0; r < sessions_.size(); ++r)
    sessions_[r].announce(route.prefix, attributes(route, r));
}

void Speaker::announce(Time now, const std::string& address, const Prefix& prefix,
                       std::uint64_t term) {
  Route& route = routes_[address];
  route = {prefix, term, Stage::kAnnouncing, now + settings_.claim_timeout, false};
  send_route(route);
  update_routes(now);
}

void Speaker::deprefer(Time now, const std::string& address) {
  const auto it = routes_.find(address);
  if (it == routes_.end() || it->second.stage == Stage::kWithdrawing) return;
  it->second.depreferred = true;
  send_route(it->second);
  update_routes(now);
}

void Speaker::withdraw(Time now, const std::string& address) {
  const auto it = routes_.find(address);
  if (it == routes_.end()) {
    events_.push_back({Event::Kind::kWithdrawn, address});
    return;
  }
  it->second.stage = Stage::kWithdrawing;
  for (Session& s : sessions_) s.withdraw(it->second.prefix);
  update_routes(now);
}

void Speaker::stop(Time now, std::string_view why) {
  for (Session& s : sessions_) s.stop(now, why);
  update_routes(now);
}

std::size_t Speaker::routers_up(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [now](const Session& s) { return s.established() && !s.is_overdue(now); }));
}

// Reports routes that have become announced, failed or withdrawn. A session that has ended counts
// as withdrawn: the router drops its routes, at the latest after its hold time, and until then
// prefers a route of a newer term.
void Speaker::update_routes(Time now) {
  for (auto it = routes_.begin(); it != routes_.end();) {
    const std::string& address = it->first;
    Route& route = it->second;
    const auto acknowledged = static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [](const Session& s) { return s.all_acknowledged(); }));
    if (route.stage == Stage::kAnnouncing) {
      if (acknowledged >= std::max<std::size_t>(settings_.min_routers, 1)) {
        route.stage = Stage::kAnnounced;
        events_.push_back({Event::Kind::kAnnounced, address});
      } else if (now >= route.announcement_deadline) {
        route.announcement_deadline = Time::max();
        events_.push_back({Event::Kind::kFailed, address});
      }
    } else if (route.stage == Stage::kWithdrawing &&
               std::all_of(sessions_.begin(), sessions_.end(), [](const Session& s) {
                 return !s.established() || s.all_acknowledged();
               })) {
      events_.push_back({Event::Kind::kWithdrawn, address});
      it = routes_.erase(it);
      continue;
    }
    ++it;
  }
}

void Speaker::on_connected(Time now, std::size_t router, Session::Direction way) {
  sessions_[router].on_connected(now, way);
  update_routes(now);
}

void Speaker::on_closed(Time now, std::size_t router, Session::Direction way,
                        std::string_view why) {
  sessions_[router].on_closed(now, way, why);
  update_routes(now);
}

void Speaker::on_bytes(Time now, std::size_t router, Session::Direction way,
                       std::string_view bytes) {
  sessions_[router].on_bytes(now, way, bytes);
  update_routes(now);
}

void Speaker::on_unacknowledged(Time now, std::size_t router, Session::Direction way,
                                std::size_t bytes) {
  sessions_[router].on_unacknowledged(now, way, bytes);
  update_routes(now);
}

void Speaker::on_timer(Time now) {
  for (Session& s : sessions_)
    if (s.next_timer_at() <= now) s.on_timer(now);
  update_routes(now);
}

Time Speaker::next_timer_at() const {
  Time first = Time::max();
  for (const Session& s : sessions_) first = std::min(first, s.next_timer_at());
  for (const auto& [address, route] : routes_)
    if (route.stage == Stage::kAnnouncing) first = std::min(first, route.announcement_deadline);
  return first;
}

std::vector<Speaker::Action> Speaker::take_actions() {
  std::vector<Action> all;
  for (std::size_t r = 0; r < sessions_.size(); ++r)
    for (auto& a : sessions_[r].take_actions()) all.emplace_back(r, std::move(a));
  return all;
}

}  // namespace balancer::bgp

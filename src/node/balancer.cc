#include "node/balancer.h"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>

#include "front/memcache/cache_connection.h"
#include "front/memcache/origin_connection.h"

namespace silverpin::node {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// At a planned restart new connections come for up to 0.4 s, and the kill no sooner after the
// signal than the longest deadline, of 3 s at most, and 0.7 s more.
constexpr milliseconds kDrainAccept{600};
constexpr milliseconds kLongestDeadline{3000};
constexpr milliseconds kDrainAnswer{400};  // behind that deadline
constexpr milliseconds kDrainExit{550};
constexpr milliseconds kDrainTick{10};
// Connections in use are given back from this part of the longest deadline on, and the last so long
// before it, that its last request has time for an answer: this and kDrainAnswer.
constexpr int kGiveBackPart = 2;
constexpr milliseconds kGiveBackLast{200};
// Where an operator sends clients away: who deals them out asks every 0.1 s and sends new ones for
// 0.2 s more, and 2 s after the call no connection may take another request.
constexpr milliseconds kAwayFirst{300}, kAwayLast{1800};
// Clients of an address that was lost are sent away within this; what they ask for is refused.
constexpr milliseconds kLostGiveBack{200};

}  // namespace

Balancer::MemcacheSide::MemcacheSide(boost::asio::io_context& io, const Config& config,
                                     const Clock& clock, Limits& limits)
    : site(config.site),
      pool(
          io, clock, site, config.seed, limits,
          [&io, &limits](bool origin, AttemptEvents& events,
                         UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
            if (origin) return std::make_shared<OriginConnection>(io, limits, events, owner);
            return std::make_shared<CacheConnection>(io, limits, events, owner);
          },
          [this] { discovery.subscribe(); }),
      front(site, pool),
      discovery(
          io, config.discovery, site, config.known ? config.known->seq : 0,
          {[this](const HostList& list) { take(list); }, [this] { pool.on_list_refused(); }}) {
  if (config.known) take(*config.known);
}

void Balancer::MemcacheSide::take(const HostList& list) {
  listed = true;
  if (list.whole) caches.clear();
  for (const ListedHost& h : list.hosts) {
    if (h.origin) continue;
    if (h.state == HostState::kServing) {
      caches.insert(h.id);
    } else {
      caches.erase(h.id);
    }
  }
  pool.on_list(list);
}

Balancer::Balancer(boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
                   Operator added, Log log)
    : io_(io), added_(std::move(added)), drain_timer_(io), log_(log) {
  if (config && config->admin)
    admin_ = std::make_unique<admin::AdminServer>(
        io, *config->admin,
        admin::Operations{[this] { return memcache_ && memcache_->listed && !leaving_; },
                          [this](std::string_view host, bool out) { return maintain(host, out); },
                          [this](bool away) { return send_away(away); }});
  if (config) {
    memcache_ = std::make_unique<MemcacheSide>(io, *config, clock_, limits);
    const std::string service = added_.group ? added_.group->memcache_service : "";
    memcache_->listener = std::make_unique<ClientListener>(
        io, config->listen, limits, clock_, memcache_->pool,
        [side = memcache_.get()] { return side->front.make(); }, SessionTimes{}, gate(service));
    if (service.empty()) memcache_->listener->open();
    longest_deadline_ = memcache_->pool.longest_deadline(kLongestDeadline);
  }
  add(config ? config->seed : std::random_device()(), limits);
  if (added_.group) join(log);
  if (memcache_ && !memcache_->site.policy.list_on_request) memcache_->discovery.start();
}

void Balancer::add(std::uint64_t seed, Limits& limits) {
  for (const RespPool& pool : added_.pools) {
    cluster_pools_.push_back(
        std::make_unique<ClusterPool>(io_, clock_, pool, seed + cluster_pools_.size() + 1, limits));
    longest_deadline_ = std::max(
        longest_deadline_, cluster_pools_.back()->servers().longest_deadline(kLongestDeadline));
  }
  for (const RespListener& l : added_.listeners) {
    const auto at = std::find_if(added_.pools.begin(), added_.pools.end(),
                                 [&l](const RespPool& p) { return p.name == l.pool; });
    ClusterPool& pool = *cluster_pools_[static_cast<std::size_t>(at - added_.pools.begin())];
    ServerPool& servers = pool.servers();
    const auto address = parse_endpoint(l.address);
    if (!address) throw std::runtime_error("listener " + l.name + ": names are not looked up");
    RespSide side;
    // The front is known only once the port is: with port 0 the system gives one.
    const std::size_t place = resp_.size();
    side.listener = std::make_unique<ClientListener>(
        io_, *address, limits, clock_, servers,
        [this, place] { return resp_[place].front->make(); },
        SessionTimes{l.idle_close, l.idle_close, l.idle_close}, gate(l.service));
    if (l.service.empty()) side.listener->open();
    const Endpoint local = side.listener->local();
    std::string announce = l.announce;
    if (announce.empty())
      announce = l.address.substr(0, l.address.rfind(':') + 1) + std::to_string(local.port());
    side.front =
        std::make_unique<RespFront>(l, *at, announce, limits, servers, pool.router().table());
    resp_.push_back(std::move(side));
  }
}

void Balancer::reload(const Config& config) {
  if (leaving_ || !memcache_) return;
  memcache_->discovery.move(config.discovery);
}

std::vector<std::string> Balancer::reload(const Operator& changed) {
  if (member_) member_->reload();
  return added_.take_over(changed);
}

// ---- the group

void Balancer::join(const Log& log) {
  member_ = std::make_unique<member::Member>(
      io_, *added_.group, true,
      member::Member::Owner{
          [this, log](const std::string& service) { return listen(service, log); },
          [this](const std::string& service, bool in_order) { unlisten(service, in_order); },
          [this] { return hosts_listed(); }, log});
  status_ = std::make_unique<member::StatusSocket>(
      io_, member::status_path(*added_.group),
      [this](const std::string& line, std::function<void(const std::string&)> answer) {
        member_->command(line, std::move(answer));
      });
}

MayGoOut Balancer::gate(const std::string& service) const {
  if (service.empty()) return {};
  return [this, service] { return member_ && member_->may_serve(service); };
}

template <typename F>
void Balancer::each_of(const std::string& service, F&& f) {
  if (memcache_ && added_.group->memcache_service == service) f(*memcache_->listener);
  for (std::size_t i = 0; i < resp_.size(); ++i)
    if (added_.listeners[i].service == service) f(*resp_[i].listener);
}

bool Balancer::listen(const std::string& service, const Log& log) {
  try {
    each_of(service, [](ClientListener& l) { l.open(); });
    return true;
  } catch (const std::exception& e) {
    log("address " + service + ": its listener cannot be opened: " + e.what());
    unlisten(service, false);
    return false;
  }
}

void Balancer::unlisten(const std::string& service, bool in_order) {
  const Time last =
      clock_.now() +
      (in_order ? added_.group->drain - std::min<Duration>(kGiveBackLast, added_.group->drain / 2)
                : Duration{kLostGiveBack});
  each_of(service, [last](ClientListener& l) { l.shut(last); });
}

bool Balancer::hosts_listed() const {
  if (memcache_ && !added_.group->memcache_service.empty() && memcache_->caches.empty())
    return false;
  for (const RespListener& l : added_.listeners) {
    if (l.service.empty()) continue;
    for (std::size_t p = 0; p < added_.pools.size(); ++p)
      if (added_.pools[p].name == l.pool && cluster_pools_[p]->router().table().assigned() == 0)
        return false;
  }
  return true;
}

// ---- operators' calls

bool Balancer::maintain(std::string_view host, bool out) {
  if (!memcache_ || !memcache_->pool.maintain(host, out)) return false;
  log_("cache host " + std::string(host) + (out ? " taken out" : " put back") + " by an operator");
  return true;
}

bool Balancer::send_away(bool away) {
  if (leaving_) return false;
  if (std::exchange(away_, away) == away) return true;
  log_(away ? "clients are sent away, by an operator" : "clients are taken in again");
  if (memcache_) memcache_->front.send_away(away);
  const Time now = clock_.now();
  each_listener([&](ClientListener& l) {
    if (away) {
      l.drain(now + kAwayFirst, now + kAwayLast);
    } else {
      l.keep();
    }
  });
  return true;
}

// ---- the end

void Balancer::drain() {
  if (std::exchange(leaving_, true)) return;
  if (!member_) return begin_drain();
  member_->leave([this] { begin_drain(); });
}

void Balancer::begin_drain() {
  draining_since_ = clock_.now();
  each_pool(
      [this](ServerPool& p) { p.drain(*draining_since_ + longest_deadline_ + kDrainAnswer); });
  const Time last =
      *draining_since_ + std::max<Duration>(longest_deadline_ - kGiveBackLast, kDrainAccept);
  const Time first = std::min<Time>(*draining_since_ + longest_deadline_ / kGiveBackPart, last);
  each_listener([first, last](ClientListener& l) { l.drain(first, last); });
  arm_drain();
}

void Balancer::arm_drain() {
  drain_timer_.expires_after(kDrainTick);
  drain_timer_.async_wait([this](const error_code& e) {
    if (e) return;
    const Duration since = clock_.now() - *draining_since_;
    std::size_t sessions = 0;
    each_listener([&](ClientListener& l) {
      if (since >= kDrainAccept) l.stop();
      sessions += l.sessions();
    });
    // Those whose deadline lies beyond the end.
    if (since >= longest_deadline_ + kDrainAnswer) each_pool([](ServerPool& p) { p.fail_open(); });
    if (since >= longest_deadline_ + kDrainExit || (since >= kDrainAccept && sessions == 0)) {
      if (memcache_) memcache_->discovery.stop();
      for (auto& p : cluster_pools_) p->stop();
      if (member_) member_->end();
      io_.stop();
      return;
    }
    arm_drain();
  });
}

}  // namespace silverpin::node

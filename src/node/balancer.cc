#include "node/balancer.h"

#include <sys/socket.h>

#include <algorithm>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>

#include "frontend/memcache/cache_connection.h"
#include "frontend/memcache/origin_connection.h"

namespace balancer::node {
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
// A new version that has been given no list by then takes clients all the same.
constexpr milliseconds kOpenAnyway{3000};
// Descriptors that a process which is leaving keeps for retries beside those of its open requests.
constexpr std::size_t kNeedsMore = 8;
// Clients of an address that was lost are sent away within this; what they ask for is refused.
constexpr milliseconds kLostGiveBack{200};

std::string text_of(const Endpoint& e) {
  std::ostringstream out;
  out << e;
  return out.str();
}

// Whether another process listens there.
bool taken(const Endpoint& at) {
  if (at.port() == 0) return false;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor probe(io);
  error_code e;
  probe.open(at.protocol(), e);
  if (!e) probe.set_option(boost::asio::socket_base::reuse_address(true), e);
  if (!e) probe.bind(at, e);
  return e == boost::asio::error::address_in_use;
}

// Whether it is a listening TCP socket bound to that address.
bool listens_at(const Descriptor& socket, const std::string& address) {
  int listening = 0;
  socklen_t n = sizeof listening;
  Endpoint local;
  auto size = static_cast<socklen_t>(local.capacity());
  if (::getsockopt(socket.get(), SOL_SOCKET, SO_ACCEPTCONN, &listening, &n) != 0 || !listening ||
      ::getsockname(socket.get(), local.data(), &size) != 0)
    return false;
  local.resize(size);
  return text_of(local) == address;
}

// A request that nobody can read may be of any class: it is refused while its client still waits.
SessionTimes session_times(const std::vector<RequestClass>& classes) {
  constexpr Duration kMin = milliseconds(50), kMax = milliseconds(1000);
  constexpr int kPart = 4;
  SessionTimes times;
  Duration shortest = kMax * kPart;
  for (const RequestClass& c : classes)
    if (c.deadline > Duration{0}) shortest = std::min(shortest, c.deadline);
  times.memory_wait = std::clamp(shortest / kPart, kMin, kMax);
  return times;
}

hot_restart::Host host_of(const ListedHost& h) {
  hot_restart::Host out;
  out.id = h.id;
  if (h.dial) {
    if (h.dial->address().is_v4()) {
      const auto bytes = h.dial->address().to_v4().to_bytes();
      out.address.assign(bytes.begin(), bytes.end());
    } else {
      const auto bytes = h.dial->address().to_v6().to_bytes();
      out.address.assign(bytes.begin(), bytes.end());
    }
    out.port = h.dial->port();
  }
  out.born = h.born;
  out.origin = h.origin;
  out.zone = h.zone;
  out.cell = h.cell;
  out.state = static_cast<int>(h.state);
  out.weight = h.weight;
  return out;
}

HostList list_of(const hot_restart::Snapshot& s) {
  HostList list;
  list.seq = s.seq;
  list.whole = true;
  for (const hot_restart::Host& h : s.hosts) {
    ListedHost host;
    host.id = h.id;
    if (h.address.size() == 4) {
      boost::asio::ip::address_v4::bytes_type bytes;
      std::copy(h.address.begin(), h.address.end(), bytes.begin());
      host.dial = Endpoint(boost::asio::ip::address_v4(bytes), h.port);
    } else if (h.address.size() == 16) {
      boost::asio::ip::address_v6::bytes_type bytes;
      std::copy(h.address.begin(), h.address.end(), bytes.begin());
      host.dial = Endpoint(boost::asio::ip::address_v6(bytes), h.port);
    }
    host.born = h.born;
    host.age = h.age;
    host.origin = h.origin;
    host.zone = h.zone;
    host.cell = h.cell;
    host.state = static_cast<HostState>(h.state);
    host.weight = h.weight;
    list.hosts.push_back(std::move(host));
  }
  return list;
}

}  // namespace

Balancer::MemcacheSide::MemcacheSide(boost::asio::io_context& io, const Config& config,
                                     const Clock& clock, Limits& limits, const Log& log)
    : site(config.site),
      pool(
          io, clock, site, config.seed, limits,
          [&io, &limits](bool origin, AttemptEvents& events,
                         UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
            if (origin) return std::make_shared<OriginConnection>(io, limits, events, owner);
            return std::make_shared<CacheConnection>(io, limits, events, owner);
          },
          [this] { discovery.start(); }),
      front(site, pool),
      discovery(io, config.discovery, site, config.known ? config.known->seq : 0, config.seed,
                max_list_bytes(config.memory_mb),
                {[this](const HostList& list) { take(list); }, [this] { pool.on_list_rejected(); },
                 [this](Duration took) { pool.on_discovery_answer(took); }, log}) {
  if (config.known) take(*config.known);
}

void Balancer::MemcacheSide::take(const HostList& list) {
  if (list.whole) caches.clear(), hosts.clear();
  seq = std::max(seq, list.seq);
  for (const ListedHost& h : list.hosts) {
    if (h.state == HostState::kGone) {
      hosts.erase(h.id);
    } else {
      hosts[h.id] = h;
    }
    if (h.origin) continue;
    if (h.state == HostState::kServing) {
      caches.insert(h.id);
    } else {
      caches.erase(h.id);
    }
  }
  pool.on_list(list);
  if (!std::exchange(listed, true) && on_listed) on_listed();
}

Balancer::Balancer(boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
                   Operator added, const Log& log)
    : io_(io),
      added_(std::move(added)),
      drain_timer_(io),
      log_(log),
      limits_(limits),
      open_timer_(io) {
  if (config && config->admin)
    admin_ = std::make_unique<admin::AdminServer>(
        io, *config->admin,
        admin::Operations{[this] { return open_ && memcache_->listed && !leaving_; },
                          [this](std::string_view host, bool out) { return maintain(host, out); },
                          [this](bool away) { return send_away(away); }});
  Predecessor from;
  if (admin_ && !config->folder.empty()) from = HotRestart::ask(config->folder, config->name, log_);
  if (config) {
    memcache_ = std::make_unique<MemcacheSide>(io, *config, clock_, limits, log_);
    const std::string service = added_.group ? added_.group->memcache_service : "";
    memcache_->listener = std::make_unique<ClientListener>(
        io, config->listen, limits, clock_, memcache_->pool,
        [side = memcache_.get()] { return side->front.make(); },
        session_times(memcache_->site.policy.classes), gate(service));
    longest_deadline_ = memcache_->pool.longest_deadline(kLongestDeadline);
  }
  add(config ? config->seed : std::random_device()(), limits);
  if (admin_ && !config->folder.empty()) take_over(from, *config);
  if (added_.group) join(log);
  if (memcache_ && !memcache_->site.policy.discovery_is_polled) {
    memcache_->discovery.start();
    memcache_->pool.enable_stall_guard([this] { memcache_->discovery.confirm(); }, log_);
  }
  // Where another process serves meanwhile, clients are better off there until there is a list.
  if (!hot_restart_ || !hot_restart_->state().has_predecessor(clock_.now()) || memcache_->listed) {
    open();
    return;
  }
  memcache_->on_listed = [this] { open(); };
  open_timer_.expires_after(kOpenAnyway);
  open_timer_.async_wait([this](const error_code& e) {
    if (!e) open();
  });
}

void Balancer::open() {
  if (std::exchange(open_, true)) return;
  open_timer_.cancel();
  const bool beside = admin_ != nullptr;
  const auto open_one = [&](ClientListener& l) {
    const auto at = passed_.find(text_of(l.local()));
    if (at == passed_.end()) return l.open(beside);
    l.open(std::move(at->second));
  };
  if (memcache_ && (!added_.group || added_.group->memcache_service.empty()))
    open_one(*memcache_->listener);
  for (std::size_t i = 0; i < resp_.size(); ++i)
    if (added_.listeners[i].service.empty()) open_one(*resp_[i].listener);
  passed_.clear();
  if (away_) give_back_away();  // taken over with the predecessor's place
  if (hot_restart_) hot_restart_->serve();
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
    // With the port that the system gives, where the file names none.
    if (l.service.empty() && address->port() == 0) side.listener->open();
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
  // In a drain too: what is still out goes to hosts that may come to drain meanwhile.
  if (!memcache_) return;
  memcache_->discovery.move(config.discovery);
}

std::vector<std::string> Balancer::reload(const Operator& changed) {
  if (member_) member_->reload();
  return added_.take_over(changed);
}

// ---- the group

void Balancer::join(const Log& log) {
  member_ = std::make_unique<group_runtime::GroupRuntime>(
      io_, *added_.group, true,
      group_runtime::GroupRuntime::Owner{
          [this, log](const std::string& service) { return listen(service, log); },
          [this](const std::string& service, bool in_order) { unlisten(service, in_order); },
          [this] { return hosts_listed(); }, log});
  status_ = std::make_unique<group_runtime::StatusSocket>(
      io_, group_runtime::status_path(*added_.group),
      [this](const std::string& line, std::function<void(const std::string&)> answer) {
        member_->command(line, std::move(answer));
      },
      log);
}

ForwardingCheck Balancer::gate(const std::string& service) const {
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

// ---- beside the process before and the one after

void Balancer::take_over(Predecessor& from, const Config& config) {
  if (from.link) {
    // What one of a later version says is not known here; its sockets are sockets.
    const hot_restart::Snapshot& s = from.snapshot;
    if (s.version <= hot_restart::kVersion) {
      if (s.listed && s.seq >= memcache_->seq) memcache_->take(list_of(s));
      Policy::PolicyCheckpoint checkpoint{s.work_rate, s.origin_open, s.caches_open, {}};
      for (const auto& h : s.hosts)
        if (h.share < 1) checkpoint.shares.emplace_back(h.id, h.share);
      memcache_->pool.restore(checkpoint);
      for (const auto& w : s.overrides) restore(w);
      if (s.away) send_away(true);
    }
    passed_ = std::move(from.sockets);
    // Those are the sockets that were asked for, or none.
    std::erase_if(passed_, [](const auto& p) { return !listens_at(p.second, p.first); });
  }
  if (!from.link || from.snapshot.version > hot_restart::kVersion) {
    if (const auto kept = HotRestart::read_overrides(config.folder, config.name)) {
      for (const auto& w : kept->overrides) restore(w);
      log_(std::to_string(kept->overrides.size()) + " operators' words taken from their file");
    }
    // Where another process listens that could not be asked, it holds some of the limits.
    if (!from.link && !from.presumed && taken(config.listen)) {
      log_(
          "another process listens here and could not be asked; it is presumed to hold half of "
          "the limits");
      from.presumed = true;
    }
  }
  hot_restart_ = std::make_unique<HotRestart>(
      io_, clock_, config.folder, config.name,
      hot_restart::ResourceShare{limits_.total_descriptors, limits_.total_bytes}, from,
      HotRestart::Owner{
          [this] { return snapshot(); },
          [this] {
            std::vector<Descriptor> all;
            for (const ClientListener* l : listeners()) all.push_back(l->listening());
            return all;
          },
          [this] {
            return hot_restart::ResourceShare{limits_.descriptors_used(), limits_.bytes.used()};
          },
          [this] {
            std::size_t open = 0;
            each_pool([&open](ServerPool& p) { open += p.open_requests(); });
            return hot_restart::ResourceShare{open * 2 + kNeedsMore,
                                              open * kMaxCollectedValue + kMaxCollectedValue};
          },
          [this](const hot_restart::OperatorOverride& w) {
            restore(w);
            log_("cache host " + w.host + (w.out ? " taken out" : " put back") +
                 " by an operator, at the other process");
          },
          [this](bool away) { send_away(away); },
          [this](const hot_restart::Connection& c, Descriptor socket) {
            for (ClientListener* l : listeners())
              if (text_of(l->local()) == c.listener)
                return l->adopt({std::move(socket), c.input, c.answered});
          },
          [this] { apply_hot_restart_state(); }, log_});
  apply_hot_restart_state();
}

std::vector<ClientListener*> Balancer::listeners() {
  std::vector<ClientListener*> all;
  each_listener([&all](ClientListener& l) {
    if (l.is_open()) all.push_back(&l);
  });
  if (all.size() > hot_restart::kMaxDescriptors) all.resize(hot_restart::kMaxDescriptors);
  return all;
}

hot_restart::Snapshot Balancer::snapshot() {
  hot_restart::Snapshot s;
  s.listed = memcache_->listed;
  s.seq = memcache_->seq;
  for (const auto& [id, h] : memcache_->hosts) {
    s.hosts.push_back(host_of(h));
    if (h.born) s.hosts.back().age = memcache_->pool.host_age(id);
  }
  const Policy::PolicyCheckpoint checkpoint = memcache_->pool.checkpoint();
  s.work_rate = checkpoint.work_rate;
  s.origin_open = checkpoint.origin;
  s.caches_open = checkpoint.caches;
  const std::map<std::string, double> shares(checkpoint.shares.begin(), checkpoint.shares.end());
  for (hot_restart::Host& h : s.hosts)
    if (const auto at = shares.find(h.id); at != shares.end()) h.share = at->second;
  s.overrides = overrides();
  s.away = away_;
  for (const ClientListener* l : listeners()) s.listeners.push_back(text_of(l->local()));
  return s;
}

void Balancer::apply_hot_restart_state() {
  if (!hot_restart_) return;
  const auto& state = hot_restart_->state();
  const auto share = hot_restart_->share();
  limits_.share(share.descriptors, share.bytes, state.accepts());
  each_listener([&](ClientListener& l) {
    l.close_excess();
    if (state.accepts()) {
      l.resume();
    } else {
      l.pause();
    }
  });
  each_pool([](ServerPool& p) { p.close_excess_connections(); });
  if (std::exchange(passing_, succeeded()) == succeeded()) return;
  each_listener([this](ClientListener& l) {
    if (!passing_) return l.transfer_clients({}, {});
    l.transfer_clients(
        [this] { return hot_restart_->may_pass(); },
        [this, to = text_of(l.local())](HandedClient c) {
          hot_restart_->pass({to, std::move(c.input), c.answered}, std::move(c.socket));
        });
  });
}

// ---- operators' calls

std::vector<hot_restart::OperatorOverride> Balancer::overrides() const {
  std::vector<hot_restart::OperatorOverride> all;
  for (const auto& [id, word] : memcache_->pool.overrides())
    all.push_back({id, word.out, clock_.now() - word.at});
  return all;
}

void Balancer::restore(const hot_restart::OperatorOverride& word) {
  memcache_->pool.restore(word.host, {word.out, clock_.now() - word.age});
}

bool Balancer::maintain(std::string_view host, bool out) {
  if (!memcache_ || !memcache_->pool.maintain(host, out)) return false;
  log_("cache host " + std::string(host) + (out ? " taken out" : " put back") + " by an operator");
  if (!hot_restart_) return true;
  const auto& all = memcache_->pool.overrides();
  if (const auto w = all.find(host); w != all.end())
    hot_restart_->tell(
        hot_restart::OperatorOverride{w->first, w->second.out, clock_.now() - w->second.at});
  hot_restart::Snapshot kept;
  kept.overrides = overrides();
  hot_restart_->persist_overrides(std::move(kept));
  return true;
}

bool Balancer::send_away(bool away) {
  if (leaving_) return false;
  if (std::exchange(away_, away) == away) return true;
  log_(away ? "clients are sent away, by an operator" : "clients are taken in again");
  if (hot_restart_) hot_restart_->tell(hot_restart::Away{away});
  if (memcache_) memcache_->front.send_away(away);
  if (away) {
    give_back_away();
  } else {
    each_listener([](ClientListener& l) { l.cancel_drain(); });
  }
  return true;
}

void Balancer::give_back_away() {
  const Time now = clock_.now();
  each_listener([now](ClientListener& l) { l.drain(now + kAwayFirst, now + kAwayLast); });
}

// ---- the end

void Balancer::drain() {
  if (std::exchange(leaving_, true)) return;
  if (!member_) return begin_drain();
  member_->leave([this] { begin_drain(); });
}

void Balancer::begin_drain() {
  draining_since_ = clock_.now();
  if (hot_restart_) hot_restart_->on_term();
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
    bool more = false;  // wait to be accepted
    each_listener([&](ClientListener& l) {
      if (since >= kDrainAccept && !succeeded()) more = !l.stop() || more;
      sessions += l.sessions();
    });
    // Those whose deadline lies beyond the end.
    if (since >= longest_deadline_ + kDrainAnswer) {
      each_pool([](ServerPool& p) { p.fail_open_requests(); });
      each_listener([](ClientListener& l) { l.reject_unread(); });
    }
    if (since >= longest_deadline_ + kDrainExit ||
        ((since >= kDrainAccept || succeeded()) && sessions == 0 && !more &&
         (!hot_restart_ || hot_restart_->flushed()))) {
      // Behind what has been posted by now: answers just given may leave at the end of the turn.
      boost::asio::post(io_, [this] { end(); });
      return;
    }
    arm_drain();
  });
}

void Balancer::end() {
  if (memcache_) memcache_->discovery.stop();
  for (auto& p : cluster_pools_) p->stop();
  if (member_) member_->end();
  if (hot_restart_) hot_restart_->end();
  io_.stop();
}

}  // namespace balancer::node

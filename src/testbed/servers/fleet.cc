#include "testbed/servers/fleet.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace balancer::testbed {
namespace {

using Health = DiscoveryServer::Health;

// An object is stored at the first two hosts that missed, as on the platform.
constexpr std::size_t kStoredAt = 2;
// Limit on the requests whose misses are recorded; far above the number that can be open at once.
constexpr std::size_t kMaxMissed = 50'000;
constexpr Duration kRestartTime = std::chrono::seconds(1);
// Time that links may need to deliver held data once the fault has ended.
constexpr Duration kLinksSettle = std::chrono::milliseconds(100);

std::string ns(Duration d) { return std::to_string(d.count()); }

std::string quoted_names(const auto& all) {
  std::string text;
  for (const auto& x : all) text += (text.empty() ? "\"" : ",\"") + x.name + "\"";
  return text;
}

}  // namespace

Fleet::Fleet(Context& context)
    : context_(context),
      random_(context.scenario.seed, 1),
      discovery_(context, context.scenario.balancers, random_.next()) {
  const Scenario& s = context.scenario;
  int number = 0;
  for (const KindSpec& kind : s.kinds) {
    double all = 0;
    for (const double share : kind.zones) all += share;
    // Assigns hosts to zones in proportion to the shares, by the largest remainder.
    std::vector<double> due(kind.zones.size());
    for (int i = 0; i < kind.count; ++i, ++number) {
      std::size_t zone = 0;
      for (std::size_t z = 0; z < due.size(); ++z) {
        due[z] += all > 0 ? kind.zones[z] / all : 1.0 / static_cast<double>(due.size());
        if (due[z] > due[zone]) zone = z;
      }
      due[zone] -= 1;
      Host host;
      host.number = number;
      host.name = "h" + std::to_string(number);
      host.audit_id = context.auditor.add_host(host.name);
      host.server = std::make_unique<CacheServer>(
          context, kind, kind.speed.draw(random_), static_cast<int>(zone),
          context.loopback.next_endpoint(), random_.next(),
          [this](RequestNumber r, CacheServer& server) { record_miss(r, server); });
      host.server->start(host.audit_id, false);
      discovery_.add(entry(host, Health::kReady, 0));
      hosts_.push_back(std::move(host));
    }
  }
  for (Host& host : hosts_)  // the elements no longer move in memory
    host.server->on_overload_crash = [this, &host] {
      discovery_.change(entry(host, Health::kGone, 0));
    };
  const int id = context.auditor.add_host("origin");
  origin_ = std::make_unique<OriginServer>(
      context, id, random_.next(),
      OriginServer::Hooks{[this](RequestNumber r, const std::string& key) {
                            const auto it = missed_.find(r);
                            if (it == missed_.end()) return;
                            // A value's size follows from its key; the object store needs only a
                            // typical size.
                            const Range& v = context_.scenario.load.value_bytes;
                            for (CacheServer* server : it->second)
                              server->store(key, static_cast<std::size_t>((v.low + v.high) / 2));
                            missed_.erase(it);
                          },
                          [this](const std::string& key) {
                            for (Host& host : hosts_) host.server->objects().drop(key);
                          }});
  DiscoveryServer::Entry e;
  e.host = "origin";
  e.dial = origin_->dial();
  e.zone = s.zones.front().name;
  e.kind = "origin";
  e.audit_id = id;
  discovery_.add(e);
  if (!s.troubles_links()) return;
  links_ = std::make_unique<Links>(context, random_.next());
  discovery_.published_dial = [this](int balancer, const DiscoveryServer::Entry& listed) {
    return links_->dial(balancer, listed.dial);
  };
}

void Fleet::record_miss(RequestNumber request, CacheServer& server) {
  auto& missed = missed_[request];
  if (missed.empty()) missed_order_.push_back(request);
  if (missed.size() < kStoredAt) missed.push_back(&server);
  while (missed_order_.size() > kMaxMissed) {
    missed_.erase(missed_order_.front());
    missed_order_.pop_front();
  }
}

DiscoveryServer::Entry Fleet::entry(const Host& host, Health health, std::int64_t born_ms) const {
  DiscoveryServer::Entry e;
  e.host = host.name;
  e.dial = host.server->dial();
  e.zone = context_.scenario.zones[static_cast<std::size_t>(host.server->zone())].name;
  e.kind = host.server->kind().name;
  e.audit_id = host.audit_id;
  e.health = health;
  e.born_ms = born_ms;
  return e;
}

double Fleet::capacity() const {
  double all = 0;
  for (const Host& host : hosts_) all += host.server->speed() * host.server->kind().host.cores;
  return all;
}

std::vector<Fleet::HostFigures> Fleet::figures() const {
  std::vector<HostFigures> all;
  for (const Host& h : hosts_)
    all.push_back({h.name, h.server->kind().name,
                   context_.scenario.zones[static_cast<std::size_t>(h.server->zone())].name,
                   h.server->speed(), h.server->work_done(), h.server->served(),
                   h.server->turned_away()});
  return all;
}

void Fleet::warm_with(const std::vector<std::string>& keys) {
  const Range& v = context_.scenario.load.value_bytes;
  for (const std::string& key : keys)
    for (Host& host : hosts_)
      host.server->store(key, static_cast<std::size_t>((v.low + v.high) / 2));
}

// ---- incidents

std::vector<Fleet::Host*> Fleet::select_hosts(const IncidentSpec& i) {
  std::vector<Host*> all;
  for (Host& host : hosts_) {
    const bool named = i.host.empty() || i.host == "h" + std::to_string(host.number);
    const bool kind = i.kind.empty() || i.kind == host.server->kind().name;
    const auto zone = static_cast<std::size_t>(host.server->zone());
    if (named && kind && (i.zone.empty() || i.zone == context_.scenario.zones[zone].name))
      all.push_back(&host);
  }
  // The choice depends only on the scenario's seed and the incident's line, not on the order of
  // events.
  Random draw(context_.scenario.seed, 1000 + static_cast<std::uint64_t>(i.line));
  for (std::size_t n = all.size(); n > 1; --n) std::swap(all[n - 1], all[draw.below(n)]);
  const auto wanted =
      static_cast<std::size_t>(std::ceil(i.share * static_cast<double>(all.size())));
  all.resize(std::min(all.size(), wanted));
  std::sort(all.begin(), all.end(),
            [](const Host* a, const Host* b) { return a->number < b->number; });
  return all;
}

void Fleet::strike(const IncidentSpec& i) {
  if (i.what >= What::kLinkStall && i.what <= What::kLinkReset) {
    set_link_faults(i, true);
    context_.after(i.length, [this, &i] { set_link_faults(i, false); });
    return;
  }
  if (i.what > What::kFlush && i.what != What::kDiscoveryDown)
    return;  // not an incident of the fleet
  if (i.what == What::kDiscoveryDown) {
    discovery_.set_down(true);
    context_.after(i.length, [this] { discovery_.set_down(false); });
    return;
  }
  if (i.host == "origin") {
    set_origin(i, true);
    context_.after(i.length, [this, &i] { set_origin(i, false); });
    return;
  }
  Duration delay{0};
  for (Host* host : select_hosts(i)) {
    context_.after(delay, [this, host, &i] { apply_to_host(*host, i); });
    delay += i.stagger;
  }
}

// The share of a link incident selects balancers; it applies to all hosts that match.
void Fleet::set_link_faults(const IncidentSpec& i, bool on) {
  Links::Impairment impairment;
  if (on) {
    impairment.stalled = i.what == What::kLinkStall;
    if (i.what == What::kLinkDelay) impairment.delay = from_seconds(1e-3 * i.factor);
    if (i.what == What::kLinkReset) impairment.reset = i.factor;
    if (impairment.stalled || impairment.delay > Duration{0})
      context_.auditor.on_links_delay(context_.now() + i.length + impairment.delay + kLinksSettle);
  }
  const Links::Direction direction = i.to_host && i.to_balancer ? Links::Direction::kBoth
                                     : i.to_host                ? Links::Direction::kToHost
                                                                : Links::Direction::kToBalancer;
  std::vector<std::string> targets;
  if (i.host == "origin") {
    targets.push_back(origin_->dial());
  } else {
    IncidentSpec all = i;
    all.share = 1;
    for (const Host* host : select_hosts(all)) targets.push_back(host->server->dial());
  }
  for (const int b : context_.scenario.balancers_struck(i))
    for (const std::string& target : targets) links_->set(b, target, direction, impairment);
}

void Fleet::set_origin(const IncidentSpec& i, bool on) {
  switch (i.what) {
    case What::kPause:
    case What::kHang:
      return origin_->hang(on);
    case What::kSlow:
      return origin_->slow(on ? i.factor : 1);
    case What::kErrors:
      return origin_->set_errors(on ? i.factor : 0);
    case What::kResets:
      return origin_->set_resets(on ? i.factor : 0);
    default:
      return origin_->refuse(on);
  }
}

void Fleet::set(Host& host, const IncidentSpec& i, bool on) {
  CacheServer& server = *host.server;
  switch (i.what) {
    case What::kPause:
      return server.pause(on);
    case What::kHang:
      return server.hang(on);
    case What::kSlow:
      return server.slow(on ? i.factor : 1);
    case What::kErrors:
      return server.set_errors(on ? i.factor : 0);
    case What::kResets:
      return server.set_resets(on ? i.factor : 0);
    case What::kSpoil:
      return server.set_corruption_share(on ? i.factor : 0);
    case What::kRefuse:
      return server.refuse(on);
    default:
      return server.set_unreachable(on);
  }
}

void Fleet::kill(Host& host) {
  host.server->kill();
  discovery_.change(entry(host, Health::kGone, 0));
}

void Fleet::start_cold(Host& host) {
  host.server->start(host.audit_id, true);
  discovery_.change(entry(host, Health::kReady, context_.unix_ms(context_.now())));
}

void Fleet::apply_to_host(Host& host, const IncidentSpec& i) {
  Duration drain{0};
  if (i.what == What::kDrain || i.drain > Duration{0}) {
    discovery_.change(entry(host, Health::kDraining, 0));
    drain = i.what == What::kDrain ? i.length : i.drain;
  }
  // One that has fallen over stays down, and comes back only as another.
  const Duration downtime = i.length > Duration{0} ? i.length : kRestartTime;
  switch (i.what) {
    case What::kDrain:
      if (drain > Duration{0}) context_.after(drain, [this, &host] { kill(host); });
      return;
    case What::kKill:
      context_.after(drain, [this, &host] { kill(host); });
      return;
    case What::kRestart:
      context_.after(drain, [this, &host] { kill(host); });
      context_.after(drain + downtime, [this, &host] { start_cold(host); });
      return;
    case What::kReplace:
      context_.after(drain, [this, &host] { kill(host); });
      context_.after(drain + downtime, [this, &host] {
        host.name = "h" + std::to_string(host.number) + "r" + std::to_string(++host.replaced);
        host.audit_id = context_.auditor.add_host(host.name);
        start_cold(host);
      });
      return;
    case What::kFlush: {
      Random draw(context_.scenario.seed, 5000 + static_cast<std::uint64_t>(i.line));
      const auto salt = draw.next();
      host.server->objects().drop_if([&](const std::string& key) {
        return Random(std::hash<std::string>()(key), salt).chance(i.factor);
      });
      return;
    }
    default:
      set(host, i, true);
      context_.after(i.length, [this, &host, &i] { set(host, i, false); });
  }
}

// ---- configuration of balancers

std::string Fleet::settings_json() const {
  const Scenario& s = context_.scenario;
  std::string classes, tenants;
  for (const ClassSpec& c : s.classes) {
    if (c.cluster >= 0) continue;
    const char* semantics = c.effect == Effect::kSafe    ? "read_like"
                            : c.effect == Effect::kKeyed ? "idempotency_key"
                                                         : "non_idempotent";
    classes += (classes.empty() ? "" : ",") + std::string("{\"name\":\"") + c.name +
               "\",\"aim\":" + ns(c.aim) + ",\"giveUp\":" + ns(c.deadline) +
               ",\"keyScope\":\"all\",\"keyTtl\":" + ns(c.window) + ",\"semantics\":\"" +
               semantics + "\",\"worth\":" + std::to_string(c.worth) +
               ",\"lateWorth\":" + std::to_string(c.late_worth) + ",\"streaming\":false}";
  }
  double share = 0;
  for (const TenantSpec& t : s.tenants) share += t.share;
  for (const TenantSpec& t : s.tenants)
    tenants += (tenants.empty() ? "" : ",") + std::string("{\"name\":\"") + t.name +
               "\",\"quotaPerS\":" + std::to_string(t.quota_per_s > 0 ? t.quota_per_s : 1e9) +
               ",\"share\":" + std::to_string(t.share / share) + "}";
  const HostSpec& first = s.kinds.front().host;
  Duration warm{0};
  double cold = 1, tip = 0;
  Duration fall{0};
  for (const KindSpec& k : s.kinds) {
    warm = std::max(warm, k.host.cold_time);
    cold = std::min(cold, k.host.cold_share);
  }
  tip = first.tip_multiple;
  fall = first.tip_time;
  return "{\"balancers\":" + std::to_string(s.balancers) + ",\"classes\":[" + classes +
         "],\"tenants\":[" + tenants + "],\"localities\":[" + quoted_names(s.zones) +
         "],\"kinds\":[" + quoted_names(s.kinds) +
         ",\"origin\"],\"domainType\":\"cache\",\"specifics\":{\"mode\":\"aside\",\"originKind\":" +
         std::to_string(s.kinds.size()) + "},\"discovery\":\"" +
         (s.discovery.ask ? "on_request" : "pushed") +
         "\",\"weightSource\":\"nominal\",\"countedBy\":\"work\",\"policyLimits\":{"
         "\"secondCopies\":true,\"cancel\":true,\"mayProbe\":false,\"peers\":false,"
         "\"retryAfter\":" +
         (s.max_retry_after > Duration{0} ? "true" : "false") +
         ",\"maxRetryAfter\":" + ns(s.max_retry_after) +
         ",\"maxAttempts\":" + std::to_string(s.max_attempts) +
         ",\"connectTimeout\":" + ns(s.connect_timeout) + ",\"connIdle\":" + ns(s.connection_idle) +
         ",\"streamsPerConn\":" + std::to_string(s.streams) +
         ",\"mostHeld\":20000},\"rules\":{\"answerSlack\":" + ns(s.rules.answer_slack) +
         ",\"drainGrace\":" + ns(s.rules.drain_grace) + ",\"fall\":" + ns(fall) +
         ",\"mustAskIn\":10000000000,\"startCapacity\":" + std::to_string(cold) +
         ",\"tipMultiple\":" + std::to_string(tip) + ",\"warmAfter\":" + ns(warm) + "}}";
}

}  // namespace balancer::testbed

#include "node/memcache_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "frontend/memcache/cache_connection.h"
#include "frontend/memcache/origin_connection.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// The class of a request that waits for memory before it is read is unknown. It is rejected early
// enough that a client with the shortest deadline still receives the rejection.
SessionTimeouts session_times(const std::vector<RequestClass>& classes) {
  constexpr Duration kMinWait = milliseconds(50), kMaxWait = milliseconds(1000);
  constexpr int kWaitsPerDeadline = 4;
  SessionTimeouts times;
  Duration shortest = kMaxWait * kWaitsPerDeadline;
  for (const RequestClass& request_class : classes)
    if (request_class.deadline > Duration{0}) shortest = std::min(shortest, request_class.deadline);
  times.memory_wait = std::clamp(shortest / kWaitsPerDeadline, kMinWait, kMaxWait);
  return times;
}

ConnectionFactory dial_hosts(boost::asio::io_context& io, Limits& limits) {
  return [&io, &limits](bool is_origin, AttemptEvents& events,
                        UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
    if (is_origin) return std::make_shared<OriginConnection>(io, limits, events, owner);
    return std::make_shared<CacheConnection>(io, limits, events, owner);
  };
}

}  // namespace

MemcacheService::MemcacheService(boost::asio::io_context& io, const Config& config,
                                 const Clock& clock, Limits& limits, ForwardingCheck may_forward,
                                 const Log& log)
    : site_(config.site),
      limits_(limits),
      pool_(io, clock, site_, config.seed, limits, dial_hosts(io, limits),
            [this] { discovery_.start(); }),
      front_(site_, pool_, limits.plan.max_remembered_ids),
      discovery_(io, config.discovery, site_, config.known ? config.known->seq : 0, config.seed,
                 limits.plan.endpoint_list,
                 {[this](const HostList& list) { return apply(list); },
                  [this] { pool_.on_list_rejected(); },
                  [this](Duration took) { pool_.on_discovery_answer(took); }, log}),
      log_(log) {
  if (config.known) apply(*config.known);
  listener_ = std::make_unique<ClientListener>(
      io, config.listen, limits, clock, pool_, [this] { return front_.make_handler(); },
      session_times(site_.policy.classes), std::move(may_forward));
}

void MemcacheService::start_discovery() {
  if (site_.policy.discovery_is_polled) return;
  discovery_.start();
  pool_.enable_stall_guard([this] { discovery_.refetch(); }, log_);
}

bool MemcacheService::has_memory_for(const HostList& list) const {
  const auto is_added = [this, &list](const EndpointListEntry& host) {
    return host.state != HostState::kGone && (list.is_complete || hosts_.count(host.id) == 0);
  };
  const auto added =
      static_cast<std::size_t>(std::count_if(list.hosts.begin(), list.hosts.end(), is_added));
  return (list.is_complete ? 0 : hosts_.size()) + added <= limits_.plan.max_hosts;
}

bool MemcacheService::apply(const HostList& list) {
  if (!has_memory_for(list)) return false;
  const std::size_t hosts_before = hosts_.size();
  if (list.is_complete) {
    serving_caches_.clear();
    hosts_.clear();
  }
  list_sequence_ = std::max(list_sequence_, list.seq);
  for (const EndpointListEntry& host : list.hosts) {
    if (host.state == HostState::kGone) {
      hosts_.erase(host.id);
    } else {
      hosts_[host.id] = host;
    }
    if (host.is_origin) continue;
    if (host.state == HostState::kServing) {
      serving_caches_.insert(host.id);
    } else {
      serving_caches_.erase(host.id);
    }
  }
  limits_.change_hosts(hosts_before, hosts_.size());
  pool_.on_list(list);
  if (!std::exchange(has_list_, true) && on_first_list_) on_first_list_();
  return true;
}

}  // namespace balancer::node

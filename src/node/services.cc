#include "node/services.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace balancer::node {

Services::Services(boost::asio::io_context& io, const std::optional<Config>& config,
                   const OperatorSettings& operator_settings, const Clock& clock, Limits& limits,
                   const MakeForwardingCheck& make_check, const Log& log)
    : operator_settings_(operator_settings),
      memcache_service_address_(operator_settings.group ? operator_settings.group->memcache_service
                                                        : "") {
  if (config)
    memcache_ = std::make_unique<MemcacheService>(io, *config, clock, limits,
                                                  make_check(memcache_service_address_), log);
  const std::uint64_t seed = config ? config->seed : std::random_device()();
  for (const RespPool& pool : operator_settings.pools)
    cluster_pools_.push_back(
        std::make_unique<ClusterPool>(io, clock, pool, seed + cluster_pools_.size() + 1, limits));
  for (const RespListener& listener : operator_settings.listeners) {
    const std::size_t index = pool_index(listener.pool);
    resp_.push_back(std::make_unique<RespService>(
        io, clock, listener, operator_settings.pools[index], *cluster_pools_[index], limits,
        make_check(listener.service)));
  }
}

// The pool exists: the reader of the settings rejects listeners of unknown pools.
std::size_t Services::pool_index(const std::string& name) const {
  const auto& pools = operator_settings_.pools;
  const auto at = std::find_if(pools.begin(), pools.end(),
                               [&name](const RespPool& pool) { return pool.name == name; });
  return static_cast<std::size_t>(at - pools.begin());
}

bool Services::have_hosts() const {
  if (memcache_ && !memcache_service_address_.empty() && !memcache_->has_cache_hosts())
    return false;
  return std::all_of(resp_.begin(), resp_.end(), [this](const auto& service) {
    const RespListener& settings = service->settings();
    if (settings.service.empty()) return true;
    return cluster_pools_[pool_index(settings.pool)]->router().table().assigned() > 0;
  });
}

Duration Services::longest_deadline(Duration max) {
  Duration longest{0};
  for_each_pool([&longest, max](ServerPool& pool) {
    longest = std::max(longest, pool.longest_deadline(max));
  });
  return longest;
}

std::vector<ClientListener*> Services::open_listeners() {
  std::vector<ClientListener*> open;
  for_each_listener([&open](ClientListener& listener) {
    if (listener.is_open()) open.push_back(&listener);
  });
  return open;
}

void Services::stop() {
  if (memcache_) memcache_->stop_discovery();
  for (auto& pool : cluster_pools_) pool->stop();
}

}  // namespace balancer::node

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "frontend/resp/cluster_pool.h"
#include "net/client_listener.h"
#include "net/clock.h"
#include "net/limits.h"
#include "node/config.h"
#include "node/memcache_service.h"
#include "node/process_log.h"
#include "node/resp_service.h"
#include "settings/operator.h"

namespace balancer::node {

// Owns all services for clients: the memcache service of the platform's configuration, and the RESP
// services and cluster pools of the operator's file. Either may be missing.
class Services {
 public:
  // Returns the check that a listener performs before each attempt; empty for listeners without a
  // service address.
  using MakeForwardingCheck = std::function<ForwardingCheck(const std::string& service_address)>;

  // All references must outlive the services. Throws std::runtime_error if an address is invalid or
  // cannot be listened on.
  Services(boost::asio::io_context& io, const std::optional<Config>& config,
           const OperatorSettings& operator_settings, const Clock& clock, Limits& limits,
           const MakeForwardingCheck& make_check, const Log& log);

  // Null without a platform configuration.
  MemcacheService* memcache() { return memcache_.get(); }
  const MemcacheService* memcache() const { return memcache_.get(); }
  // In the order of the operator's file.
  const RespService& resp(std::size_t index) const { return *resp_[index]; }
  const ClusterPool& cluster_pool(std::size_t index) const { return *cluster_pools_[index]; }

  // The service address that the memcache listener is bound to; empty: the listener is always open.
  const std::string& memcache_service_address() const { return memcache_service_address_; }
  // Returns whether every service that is bound to a service address has hosts for its requests.
  bool have_hosts() const;
  // Returns the longest deadline of all request classes, at most `max`; zero without services.
  Duration longest_deadline(Duration max);
  // Returns the listeners that are open now.
  std::vector<ClientListener*> open_listeners();
  // Stops discovery and the cluster pools' refreshes.
  void stop();

  template <typename Visitor>
  void for_each_listener(Visitor&& visit) {
    if (memcache_) visit(memcache_->listener());
    for (auto& service : resp_) visit(service->listener());
  }
  // Visits the listeners that are bound to the service address; if it is empty, those that are
  // always open.
  template <typename Visitor>
  void for_each_listener_of(const std::string& service_address, Visitor&& visit) {
    if (memcache_ && memcache_service_address_ == service_address) visit(memcache_->listener());
    for (auto& service : resp_)
      if (service->settings().service == service_address) visit(service->listener());
  }
  template <typename Visitor>
  void for_each_pool(Visitor&& visit) {
    if (memcache_) visit(memcache_->pool());
    for (auto& pool : cluster_pools_) visit(pool->servers());
  }

 private:
  std::size_t pool_index(const std::string& name) const;

  const OperatorSettings& operator_settings_;
  const std::string memcache_service_address_;
  std::unique_ptr<MemcacheService> memcache_;
  std::vector<std::unique_ptr<ClusterPool>> cluster_pools_;  // in the order of the file
  std::vector<std::unique_ptr<RespService>> resp_;           // in the order of the file
};

}  // namespace balancer::node

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

// All that serves clients: the memcache service of the platform's configuration, and the RESP
// services and their cluster pools of the operator's file. Either may be missing.
class Services {
 public:
  // Makes the check that a listener asks before each attempt; empty for listeners without a service
  // address.
  using MakeForwardingCheck = std::function<ForwardingCheck(const std::string& service_address)>;

  // All references outlive the services. Throws std::runtime_error if an address is not valid or
  // cannot be listened on.
  Services(boost::asio::io_context& io, const std::optional<Config>& config,
           const Operator& operator_settings, const Clock& clock, Limits& limits,
           const MakeForwardingCheck& make_check, const Log& log);

  // Null without a platform's configuration.
  MemcacheService* memcache() { return memcache_.get(); }
  const MemcacheService* memcache() const { return memcache_.get(); }
  // In the order of the operator's file.
  const RespService& resp(std::size_t index) const { return *resp_[index]; }
  const ClusterPool& cluster_pool(std::size_t index) const { return *cluster_pools_[index]; }

  // The address that the memcache listener is bound to; empty: none, it is always open.
  const std::string& memcache_service_address() const { return memcache_service_address_; }
  // Whether all that is bound to a service address has hosts to send requests to.
  bool have_hosts() const;
  // The longest deadline of all classes, at most `most`; zero without services.
  Duration longest_deadline(Duration most);
  // Listeners that are open now.
  std::vector<ClientListener*> open_listeners();
  // Stops discovery and the cluster pools' refreshes.
  void stop();

  template <typename Visitor>
  void for_each_listener(Visitor&& visit) {
    if (memcache_) visit(memcache_->listener());
    for (auto& service : resp_) visit(service->listener());
  }
  // The listeners that are bound to the service address; with an empty one: those that are always
  // open.
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

  const Operator& operator_settings_;
  const std::string memcache_service_address_;
  std::unique_ptr<MemcacheService> memcache_;
  std::vector<std::unique_ptr<ClusterPool>> cluster_pools_;  // in the order of the file
  std::vector<std::unique_ptr<RespService>> resp_;           // likewise
};

}  // namespace balancer::node

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "dispatch/server_pool.h"
#include "frontend/memcache/memcache_frontend.h"
#include "net/client_listener.h"
#include "net/clock.h"
#include "net/limits.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/process_log.h"

namespace balancer::node {

// Serves memcache clients. Owns their listener and front end, the pool of cache hosts and origins,
// and the discovery client, and keeps the current endpoint list.
class MemcacheService {
 public:
  // The listener is closed until open() is called. `may_forward` is checked for every request;
  // empty: all may be forwarded. `clock` and `limits` must outlive the service.
  MemcacheService(boost::asio::io_context& io, const Config& config, const Clock& clock,
                  Limits& limits, ForwardingCheck may_forward, const Log& log);
  MemcacheService(const MemcacheService&) = delete;
  MemcacheService& operator=(const MemcacheService&) = delete;

  // Where endpoint lists are pushed, subscribes to them, and confirms the list after process
  // stalls. Does nothing where discovery is polled: the policy requests the first list.
  void start_discovery();
  void stop_discovery() { discovery_.stop(); }
  // Uses the discovery service at `endpoint` from now on.
  void move_discovery(const Endpoint& endpoint) { discovery_.move_to(endpoint); }

  // Applies an endpoint list, or the changes in it. Returns false and changes nothing if there
  // would be more hosts than MemoryPlan::max_hosts.
  bool apply(const HostList& list);
  // `callback` is called once, after the first list was applied.
  void set_on_first_list(std::function<void()> callback) { on_first_list_ = std::move(callback); }

  ClientListener& listener() { return *listener_; }
  const ClientListener& listener() const { return *listener_; }
  ServerPool& pool() { return pool_; }
  MemcacheFrontend& front() { return front_; }
  bool has_list() const { return has_list_; }
  // Returns whether the list contains a cache host in state kServing.
  bool has_cache_hosts() const { return !serving_caches_.empty(); }
  // The hosts and the sequence number of the endpoint list, for a successor.
  const std::map<std::string, EndpointListEntry>& hosts() const { return hosts_; }
  std::uint64_t list_sequence() const { return list_sequence_; }

 private:
  bool has_memory_for(const HostList& list) const;

  const SiteSettings site_;
  Limits& limits_;
  ServerPool pool_;
  MemcacheFrontend front_;
  Discovery discovery_;
  const Log log_;
  std::set<std::string> serving_caches_;
  std::map<std::string, EndpointListEntry> hosts_;
  std::uint64_t list_sequence_ = 0;
  bool has_list_ = false;
  std::function<void()> on_first_list_;
  std::unique_ptr<ClientListener> listener_;
};

}  // namespace balancer::node

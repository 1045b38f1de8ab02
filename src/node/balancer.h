#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/server_pool.h"
#include "frontend/admin/admin_server.h"
#include "frontend/memcache/memcache_front.h"
#include "frontend/resp/cluster_pool.h"
#include "frontend/resp/resp_front.h"
#include "group_runtime/group_runtime.h"
#include "group_runtime/status.h"
#include "hot_restart/hot_restart.h"
#include "net/client_listener.h"
#include "net/clock.h"
#include "net/limits.h"
#include "node/config.h"
#include "node/discovery.h"

namespace balancer::node {

// The program's parts and their ends: the listener and front of memcache clients, the pool of cache
// hosts behind them, and discovery, which lists those; and what the operator's file adds. Either
// may be alone. As one of a group of balancers it opens the listeners of a service address only
// while it holds the address.
class Balancer {
 public:
  using Log = std::function<void(const std::string& line)>;
  // Listens when it returns, but for service addresses. Throws std::runtime_error if it cannot.
  // `config`: the platform's; without it there is no memcache side.
  // `limits` outlives the event loop, whose last handlers hold leases.
  Balancer(
      boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
      Operator added = {}, const Log& log = [](const std::string&) {});

  Endpoint local() const { return memcache_->listener->local(); }
  // Of the operator's listeners, in the order of the file.
  Endpoint local(std::size_t added) const { return resp_[added].listener->local(); }
  const ClusterPool& cluster_pool(std::size_t i) const { return *cluster_pools_[i]; }
  // Takes over what may change while requests are in work: where discovery is. All else in a
  // configuration holds from a start to the end.
  void reload(const Config& config);
  // Returns what of the operator's file waits for a restart. Throws FileError, and the group's old
  // keys go on, if its new ones cannot be read.
  std::vector<std::string> reload(const Operator& changed);
  // Hands service addresses over, answers what has been taken, then stops the event loop.
  void drain();
  const group_runtime::GroupRuntime* member() const { return member_.get(); }
  Endpoint admin() const { return admin_->local(); }
  // The operators' calls. See admin::Operations.
  bool maintain(std::string_view host, bool out);
  bool send_away(bool away);

 private:
  struct MemcacheSide {
    MemcacheSide(boost::asio::io_context& io, const Config& config, const Clock& clock,
                 Limits& limits, const Log& log);

    const SiteSettings site;
    ServerPool pool;
    MemcacheFront front;
    Discovery discovery;
    void take(const HostList& list);

    std::set<std::string> caches;  // that are listed as serving
    bool listed = false;           // a list has come
    // As discovery has last told, for a successor.
    std::map<std::string, ListedHost> hosts;
    std::uint64_t seq = 0;
    std::function<void()> on_listed;  // the first time
    std::unique_ptr<ClientListener> listener;
  };

  void add(std::uint64_t seed, Limits& limits);
  void join(const Log& log);
  ForwardingCheck gate(const std::string& service) const;
  // The listeners of a service address.
  template <typename F>
  void each_of(const std::string& service, F&& f);
  bool listen(const std::string& service, const Log& log);
  void unlisten(const std::string& service, bool in_order);
  bool hosts_listed() const;
  // Takes clients, once there are hosts to send their requests to.
  void open();
  void take_over(Predecessor& from, const Config& config);
  hot_restart::Snapshot snapshot();
  std::vector<hot_restart::OperatorOverride> overrides() const;
  void restore(const hot_restart::OperatorOverride& word);
  std::vector<ClientListener*> listeners();
  // Carries out what Upgrade::turn() says.
  void apply_hot_restart_state();
  bool succeeded() const { return hot_restart_ && hot_restart_->state().passes_connections(); }
  void give_back_away();
  void begin_drain();
  void arm_drain();
  void end();
  template <typename F>
  void each_listener(F&& f) {
    if (memcache_) f(*memcache_->listener);
    for (auto& r : resp_) f(*r.listener);
  }
  template <typename F>
  void each_pool(F&& f) {
    if (memcache_) f(memcache_->pool);
    for (auto& p : cluster_pools_) f(p->servers());
  }

  boost::asio::io_context& io_;
  const Clock clock_;
  std::unique_ptr<MemcacheSide> memcache_;
  Operator added_;
  std::vector<std::unique_ptr<ClusterPool>> cluster_pools_;  // in the order of the file

  boost::asio::steady_timer drain_timer_;
  Duration longest_deadline_{0};
  bool leaving_ = false;
  bool away_ = false;  // clients are sent away, by an operator's call
  std::optional<Time> draining_since_;
  struct RespSide {
    std::unique_ptr<RespFront> front;
    std::unique_ptr<ClientListener> listener;
  };
  std::vector<RespSide> resp_;
  std::unique_ptr<group_runtime::GroupRuntime> member_;
  std::unique_ptr<group_runtime::StatusSocket> status_;
  const Log log_;
  Limits& limits_;
  std::unique_ptr<admin::AdminServer> admin_;
  std::unique_ptr<HotRestart> hot_restart_;
  std::map<std::string, Descriptor> passed_;  // sockets of the predecessor's, by address
  bool open_ = false, passing_ = false;
  boost::asio::steady_timer open_timer_;
};

}  // namespace balancer::node

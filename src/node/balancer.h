#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frontend/admin/admin_server.h"
#include "net/clock.h"
#include "net/limits.h"
#include "node/config.h"
#include "node/drain_coordinator.h"
#include "node/group_coordinator.h"
#include "node/hot_restart_coordinator.h"
#include "node/operator_calls.h"
#include "node/process_log.h"
#include "node/services.h"
#include "settings/operator.h"

namespace balancer::node {

// The program's parts, put together: the services for clients, the operators' calls, the group of
// balancers, the hot restart and the drain. What each does stands in its own class; here stands in
// which order they start and end.
class Balancer {
 public:
  // Listens when it returns, but for service addresses, and for memcache where a predecessor still
  // serves and no endpoint list is known. Throws std::runtime_error with one line if it cannot.
  // `config`: the platform's; without it there is no memcache service.
  // `limits` outlives the event loop, whose last handlers hold reservations.
  Balancer(
      boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
      Operator operator_settings = {}, const Log& log = [](const std::string&) {});

  // Where memcache clients connect; only with a platform's configuration.
  Endpoint local() const { return services_->memcache()->listener().local(); }
  // Where RESP clients connect, in the order of the operator's file.
  Endpoint local(std::size_t listener) const {
    return services_->resp(listener).listener().local();
  }
  // Where operators call; only if the configuration says so.
  Endpoint admin() const { return admin_->local(); }
  const ClusterPool& cluster_pool(std::size_t index) const {
    return services_->cluster_pool(index);
  }
  // Null without a group.
  const group_runtime::GroupRuntime* group_runtime() const {
    return group_ ? &group_->runtime() : nullptr;
  }

  // Applies what may change while requests are in flight: where discovery is.
  void reload(const Config& config);
  // Likewise of the operator's file. Returns what has changed in it and waits for a restart. Throws
  // FileError, and the old keys go on, if the group's new ones cannot be read.
  std::vector<std::string> reload(const Operator& operator_settings);
  // Transfers leases, answers the requests in flight, then stops the event loop.
  void drain();

 private:
  Services::MakeForwardingCheck forwarding_checks();
  void start_admin(const Config& config);
  hot_restart::Predecessor query_predecessor(const std::optional<Config>& config) const;
  // Accepts clients now, or once there are hosts for them.
  void open_when_ready();
  void open();
  void stop();

  boost::asio::io_context& io_;
  const Clock clock_;
  const Log log_;
  Operator operator_settings_;
  // In the order in which they start; they end in the reverse one.
  std::unique_ptr<admin::AdminServer> admin_;  // null: operators are not listened to
  std::unique_ptr<Services> services_;
  std::unique_ptr<OperatorCalls> operator_calls_;
  std::unique_ptr<HotRestartCoordinator> hot_restart_;  // null without admin_ or a folder
  std::unique_ptr<GroupCoordinator> group_;             // null without a group
  std::unique_ptr<DrainCoordinator> drain_;
  boost::asio::steady_timer open_timer_;
  bool is_open_ = false;
  bool is_terminating_ = false;
};

}  // namespace balancer::node

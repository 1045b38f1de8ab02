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

// Owns the parts of the program: the services for clients, operators' calls, the group of
// balancers, the hot restart and the drain. Determines the order in which they start and stop.
class Balancer {
 public:
  // Opens all listeners, except those of service addresses. If a predecessor still serves and no
  // endpoint list is known, they are opened later. Throws std::runtime_error with a one-line
  // message on failure. `config`: the platform's configuration; without it there is no memcache
  // service. `limits` must outlive the event loop, whose last handlers hold reservations.
  Balancer(
      boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
      OperatorSettings operator_settings = {}, const Log& log = [](const std::string&) {});

  // The address for memcache clients; requires a platform configuration.
  Endpoint local() const { return services_->memcache()->listener().local(); }
  // The address for RESP clients of a listener; `listener`: index in the operator's file.
  Endpoint local(std::size_t listener) const {
    return services_->resp(listener).listener().local();
  }
  // The address for operators' calls; requires an `admin` address in the configuration.
  Endpoint admin() const { return admin_->local(); }
  const ClusterPool& cluster_pool(std::size_t index) const {
    return services_->cluster_pool(index);
  }
  // Null without a group.
  const group_runtime::GroupRuntime* group_runtime() const {
    return group_ ? &group_->runtime() : nullptr;
  }

  // Applies the settings that may change while requests are in flight: the address of discovery.
  void reload(const Config& config);
  // Does the same for the operator's file. Returns the changed sections that take effect after a
  // restart. Throws FileError if the group's keys cannot be read; the previous keys stay in use
  // then.
  std::vector<std::string> reload(const OperatorSettings& operator_settings);
  // Transfers leases, answers the requests in flight, then stops the event loop. All bounds count
  // from `signalled_at`; by default it is now. Further calls have no effect.
  void drain(std::optional<Time> signalled_at = std::nullopt);

 private:
  Services::MakeForwardingCheck forwarding_checks();
  void start_admin(const Config& config);
  hot_restart::Predecessor query_predecessor(const std::optional<Config>& config) const;
  // Opens the listeners now, or once there is an endpoint list.
  void open_when_ready();
  void open();
  void stop();

  boost::asio::io_context& io_;
  const Clock clock_;
  Limits& limits_;
  const Log log_;
  OperatorSettings operator_settings_;
  // In the order of construction; destroyed in reverse order.
  std::unique_ptr<admin::AdminServer> admin_;  // null without an `admin` address
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

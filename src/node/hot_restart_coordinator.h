#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart/hot_restart.h"
#include "net/clock.h"
#include "net/limits.h"
#include "node/config.h"
#include "node/operator_calls.h"
#include "node/process_log.h"
#include "node/services.h"

namespace balancer::node {

// Connects a hot restart with the parts of this process: restores a predecessor's state, gives
// this process's to a successor, and makes listeners and limits follow
// hot_restart::HotRestartState.
class HotRestartCoordinator {
 public:
  // `services` include the memcache service. `predecessor`: of query_predecessor(); what it holds
  // is restored here, and where nobody answered, the overrides of the file. References outlive the
  // coordinator.
  HotRestartCoordinator(boost::asio::io_context& io, const Clock& clock, const Config& config,
                        Limits& limits, Services& services, OperatorCalls& operator_calls,
                        hot_restart::Predecessor predecessor, const Log& log);

  // The predecessor's listening socket for this address; empty if it passed none.
  Descriptor take_socket(const Endpoint& address);
  // Notifies the predecessor that this process accepts clients.
  void serve();
  // SIGTERM was received.
  void on_term() { hot_restart_->on_term(); }
  bool has_predecessor() const { return hot_restart_->state().has_predecessor(clock_.now()); }
  // Whether a successor serves and takes over this process's connections.
  bool passes_connections() const { return hot_restart_->state().passes_connections(); }
  // Whether all messages to a successor have been sent.
  bool is_flushed() const { return hot_restart_->is_flushed(); }
  void stop() { hot_restart_->stop(); }

 private:
  void restore(hot_restart::Predecessor& predecessor, const Config& config);
  void restore_snapshot(const hot_restart::Snapshot& snapshot);
  void restore_overrides_file(const Config& config);
  hot_restart::HotRestart::Callbacks callbacks();
  hot_restart::Snapshot snapshot();
  hot_restart::ResourceShare needs();
  // Open listeners, as many as may be passed to a successor.
  std::vector<ClientListener*> passed_listeners();
  void adopt(const hot_restart::PassedConnection& connection, Descriptor socket);
  // Makes limits and listeners follow the state.
  void apply_state();
  void apply_passing();

  const Clock& clock_;
  Limits& limits_;
  Services& services_;
  OperatorCalls& operator_calls_;
  const Log log_;
  std::map<std::string, Descriptor> predecessor_sockets_;  // by address
  bool is_passing_ = false;  // listeners pass their connections to the successor
  std::optional<hot_restart::HotRestart> hot_restart_;  // set by the constructor
};

}  // namespace balancer::node

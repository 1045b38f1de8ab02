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

// Connects a hot restart with the other parts of this process: restores a predecessor's state,
// sends this process's state to a successor, and applies hot_restart::HotRestartState to listeners
// and limits.
class HotRestartCoordinator {
 public:
  // Restores the predecessor's state or, if no predecessor answered or it is of a later version,
  // the overrides in the file. `services` must include the memcache service. `predecessor`: the
  // result of query_predecessor(). References must outlive the coordinator.
  HotRestartCoordinator(boost::asio::io_context& io, const Clock& clock, const Config& config,
                        Limits& limits, Services& services, OperatorCalls& operator_calls,
                        hot_restart::Predecessor predecessor, const Log& log);

  // Returns the predecessor's listening socket for this address; empty if it passed none.
  Descriptor take_socket(const Endpoint& address);
  // Notifies the predecessor that this process accepts clients.
  void serve();
  // Handles SIGTERM.
  void on_term() { hot_restart_->on_term(); }
  bool has_predecessor() const { return hot_restart_->state().has_predecessor(clock_.now()); }
  // Returns whether this process passes its connections to a successor.
  bool passes_connections() const { return hot_restart_->state().passes_connections(); }
  // Returns whether all messages to a successor have been sent.
  bool is_flushed() const { return hot_restart_->is_flushed(); }
  void stop() { hot_restart_->stop(); }

 private:
  void restore(hot_restart::Predecessor& predecessor, const Config& config);
  void restore_snapshot(const hot_restart::Snapshot& snapshot);
  void restore_overrides_file(const Config& config);
  hot_restart::HotRestart::Callbacks callbacks();
  hot_restart::Snapshot snapshot();
  hot_restart::ResourceShare needs();
  // Returns the open listeners, at most as many as can be passed to a successor.
  std::vector<ClientListener*> passed_listeners();
  void adopt(const hot_restart::PassedConnection& connection, Descriptor socket);
  // Applies the current state to limits and listeners.
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

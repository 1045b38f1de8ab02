#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/hot_restart.h"
#include "net/clock.h"
#include "node/process_log.h"
#include "node/services.h"
#include "proto/hot_restart_wire.h"

namespace balancer::node {

// Carries out operators' calls: overrides of cache hosts, and client drains. During a hot restart a
// call to either process takes effect in both.
class OperatorCalls {
 public:
  OperatorCalls(const Clock& clock, Services& services, Log log)
      : clock_(clock), services_(services), log_(std::move(log)) {}

  // From now on calls are sent to the other process and overrides are stored on disk.
  void attach(hot_restart::HotRestart& hot_restart) { hot_restart_ = &hot_restart; }

  // Takes a cache host out of service, or puts it back into service. Returns false if the host is
  // unknown.
  bool override_host(std::string_view host, bool out_of_service);
  // Starts or ends a client drain, in which clients are asked to reconnect elsewhere. Returns false
  // if the process is terminating.
  bool set_client_drain(bool enabled);
  // Closes the clients' connections between requests, spread over the duration of a client drain.
  void drain_connections();
  bool is_draining_clients() const { return is_draining_clients_; }

  // Returns the overrides in force.
  std::vector<hot_restart::OperatorOverride> overrides() const;
  // Applies an override of a predecessor or of the overrides file.
  void restore(const hot_restart::OperatorOverride& restored);
  // Applies an override that an operator requested from the other process.
  void on_peer_override(const hot_restart::OperatorOverride& changed);

  // Handles SIGTERM: client drains are neither started nor ended any more.
  void on_term() { is_terminating_ = true; }

 private:
  const Clock& clock_;
  Services& services_;
  const Log log_;
  hot_restart::HotRestart* hot_restart_ = nullptr;
  bool is_draining_clients_ = false;
  bool is_terminating_ = false;
};

}  // namespace balancer::node

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

// Carries out what operators call for: cache hosts out of service and back, and draining clients.
// During a hot restart both processes hear of a call that either has answered.
class OperatorCalls {
 public:
  OperatorCalls(const Clock& clock, Services& services, Log log)
      : clock_(clock), services_(services), log_(std::move(log)) {}

  // From now on calls are passed to the other process and overrides are kept on disk.
  void attach(hot_restart::HotRestart& hot_restart) { hot_restart_ = &hot_restart; }

  // Takes a cache host out of service, or back into it. Returns false if no such host is known.
  bool override_host(std::string_view host, bool out_of_service);
  // Asks clients to reconnect elsewhere, or takes them again. Returns false if the process is
  // terminating.
  bool set_client_drain(bool enabled);
  // Closes the clients' connections between requests, spread over the time of a client drain.
  void drain_connections();
  bool is_draining_clients() const { return is_draining_clients_; }

  // The overrides in force, and one that a predecessor or its file held.
  std::vector<hot_restart::OperatorOverride> overrides() const;
  void restore(const hot_restart::OperatorOverride& restored);
  // Of an operator who called at the other process.
  void on_peer_override(const hot_restart::OperatorOverride& changed);

  // SIGTERM was received: a client drain is neither begun nor ended any more.
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

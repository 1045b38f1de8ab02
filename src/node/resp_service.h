#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "frontend/resp/cluster_pool.h"
#include "frontend/resp/resp_frontend.h"
#include "net/client_listener.h"
#include "net/clock.h"
#include "net/limits.h"
#include "settings/operator.h"

namespace balancer::node {

// Serves the RESP clients of one [[listener]] of the operator's file.
class RespService {
 public:
  // If the file states port 0 and no service address, the constructor starts to listen, because the
  // port is needed for the announced address. Throws std::runtime_error if the address is not an IP
  // address and port, and boost::system::system_error if it cannot listen. All references must
  // outlive the service.
  RespService(boost::asio::io_context& io, const Clock& clock, const RespListener& settings,
              const RespPool& pool_settings, ClusterPool& pool, Limits& limits,
              ForwardingCheck may_forward);
  RespService(const RespService&) = delete;
  RespService& operator=(const RespService&) = delete;

  ClientListener& listener() { return listener_; }
  const ClientListener& listener() const { return listener_; }
  const RespListener& settings() const { return settings_; }

 private:
  // Returns the address that is sent to clients. Listens first if the system chooses the port.
  std::string announced_address();

  const RespListener& settings_;
  ClientListener listener_;
  RespFrontend front_;
};

}  // namespace balancer::node

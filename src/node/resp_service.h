#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "frontend/resp/cluster_pool.h"
#include "frontend/resp/resp_front.h"
#include "net/client_listener.h"
#include "net/clock.h"
#include "net/limits.h"
#include "settings/operator.h"

namespace balancer::node {

// Serves the RESP clients of one [[listener]] of the operator's file.
class RespService {
 public:
  // Where the file states no port and no service address, it listens when it is constructed, as
  // clients are told the port. Throws std::runtime_error if the address is a name, and
  // boost::system::system_error if it cannot listen. All references outlive the service.
  RespService(boost::asio::io_context& io, const Clock& clock, const RespListener& settings,
              const RespPool& pool_settings, ClusterPool& pool, Limits& limits,
              ForwardingCheck may_forward);
  RespService(const RespService&) = delete;
  RespService& operator=(const RespService&) = delete;

  ClientListener& listener() { return listener_; }
  const ClientListener& listener() const { return listener_; }
  const RespListener& settings() const { return settings_; }

 private:
  // The address that clients are told. Listens first where only the system knows the port.
  std::string announced_address();

  const RespListener& settings_;
  ClientListener listener_;
  RespFront front_;
};

}  // namespace balancer::node

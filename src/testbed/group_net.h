#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "testbed/audit/context.h"
#include "testbed/servers/bgp_router.h"
#include "testbed/servers/datagram_relay.h"

namespace balancer::testbed {

// The environment of a group of balancers on one machine: an address for each instance, a router
// that forwards clients of the service address, a network between the members that can be cut,
// folders and the group key.
class GroupNet {
 public:
  static constexpr const char* kService = "svc";
  // Time for which both holders may serve during a hand-over.
  static constexpr Duration kOverlap = std::chrono::milliseconds(300);

  // The first `voters` instances are voters. Creates a folder for each instance in `folder` and
  // deletes its earlier contents. `instances` is at most LoopbackBlock::kAddresses.
  GroupNet(Context& context, const std::string& folder, int instances, int voters,
           std::uint64_t seed);

  // Returns the [group], [[address]] and [bgp] tables of an instance's configuration.
  std::string config_tables(int instance) const;
  // Returns the address at which the instance accepts clients while it holds the service address.
  std::string listen(int instance) const;
  asio::ip::tcp::endpoint direct_endpoint(int instance) const;
  std::string status_socket(int instance) const;
  // Returns the endpoint to which clients connect; the router forwards them to the holder.
  asio::ip::tcp::endpoint service() const { return service_; }

  BgpRouter& router() { return router_; }
  DatagramRelay& relay() { return *relay_; }
  // Returns the next hop of the best route as an instance number, or -1 without a route.
  int owner() const;
  std::size_t routes() const;
  void cut_from_router(int instance, bool on);

  // Sends a command to a member's status socket without waiting for the reply. Returns false if the
  // socket cannot be reached.
  bool send_command(int instance, const std::string& line);

  static std::string name_of(int instance) { return "n" + std::to_string(instance); }

 private:
  BgpRouter::Address address_of(int instance) const {
    return context_.loopback.address(instance).to_uint();
  }
  std::string ip_of(int instance) const;

  Context& context_;
  const std::string folder_;
  const int instances_, voters_;
  const bgp::Prefix prefix_{0x0a090001, 32};
  BgpRouter router_;
  std::unique_ptr<DatagramRelay> relay_;
  std::vector<DatagramRelay::Endpoint> members_;
  const std::uint16_t port_;  // listener port of all instances
  asio::ip::tcp::endpoint service_;
};

}  // namespace balancer::testbed

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

// The surroundings of a group of balancers on one machine: an address of its own for each, a router
// that forwards clients of the service address, a network between them that can be cut, folders and
// a key.
class GroupNet {
 public:
  static constexpr const char* kService = "svc";
  // For how long both may serve where the address is handed over.
  static constexpr Duration kOverlap = std::chrono::milliseconds(300);

  // The first `voters` instances vote. Folders are made in `folder`, and what was in them is gone.
  // There are at most LoopbackBlock::kAddresses instances.
  GroupNet(Context& context, const std::string& folder, int instances, int voters,
           std::uint64_t seed);

  // [group], [[address]] and [bgp] of one instance's file.
  std::string tables(int instance) const;
  // Where it takes clients while it holds the address.
  std::string listen(int instance) const;
  asio::ip::tcp::endpoint direct(int instance) const;
  std::string status_socket(int instance) const;
  // Where clients come, whoever holds the address.
  asio::ip::tcp::endpoint service() const { return service_; }

  BgpRouter& router() { return router_; }
  DatagramRelay& relay() { return *relay_; }
  // The instance that the route leads to; -1: there is none.
  int owner() const;
  std::size_t routes() const;
  void cut_from_router(int instance, bool on);

  // Asks a member through its status socket, without waiting; false: it is not there.
  bool tell(int instance, const std::string& line);

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
  const std::uint16_t port_;  // of all instances' listeners
  asio::ip::tcp::endpoint service_;
};

}  // namespace balancer::testbed

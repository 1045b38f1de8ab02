#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testbed/model/base.h"

namespace balancer::testbed {

// Emulates the network between the members of a group. Each member has a public endpoint here; a
// datagram sent to it is forwarded from the sender's public endpoint, so that each direction can be
// cut or made lossy. Members are identified by the address that they send from.
class DatagramRelay {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // `members`: the endpoint at which each member listens. All addresses must differ.
  DatagramRelay(boost::asio::io_context& io, const std::vector<Endpoint>& members,
                std::uint64_t seed);

  std::string public_address(std::size_t member) const;
  // Cuts or restores one direction.
  void cut(std::size_t from, std::size_t to, bool on);
  void isolate(std::size_t member, bool on);
  void set_loss(double share) { loss_ = share; }
  std::uint64_t passed() const { return passed_; }

 private:
  struct Port {
    explicit Port(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::udp::socket socket;
    Endpoint member, from;
    std::array<char, 2048> buffer{};
  };

  void read(std::size_t to);

  std::vector<std::unique_ptr<Port>> ports_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  double loss_ = 0;
  Random random_;
  std::uint64_t passed_ = 0;
};

}  // namespace balancer::testbed

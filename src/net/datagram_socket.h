#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

#include "net/address_set.h"

namespace balancer {

// A UDP socket that hears only whom it may. Sends directly: what the system has no room for is
// dropped, as the network may drop any.
class DatagramSocket {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Hear = std::function<void(const Endpoint& from, std::string_view bytes)>;

  // Throws boost::system::system_error if it cannot be bound.
  DatagramSocket(boost::asio::io_context& io, const Endpoint& listen, AddressSet admitted,
                 Hear hear);

  void send(const Endpoint& to, std::string_view bytes);
  void close();
  Endpoint local() const { return socket_.local_endpoint(); }

  struct Counters {
    std::uint64_t heard = 0, turned_away = 0, sent = 0, not_sent = 0, bytes_sent = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  void arm();
  void on_readable();

  boost::asio::ip::udp::socket socket_;
  const AddressSet admitted_;
  const Hear hear_;
  Counters counters_;
  std::array<char, 2048> buffer_{};
};

}  // namespace balancer

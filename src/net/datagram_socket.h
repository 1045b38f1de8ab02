#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "net/address_set.h"

namespace balancer {

// A UDP socket that accepts datagrams from admitted addresses only. Sends without queueing: if the
// socket's send buffer is full, the datagram is dropped, as the network may drop any datagram.
class DatagramSocket {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(const Endpoint& from, std::string_view bytes)>;

  // Throws boost::system::system_error if the address cannot be bound.
  DatagramSocket(boost::asio::io_context& io, const Endpoint& listen, AddressSet admitted,
                 Receiver receiver);

  // Never blocks; counts a datagram that could not be sent in Counters::not_sent.
  void send(const Endpoint& to, std::string_view bytes);
  void close();
  Endpoint local() const { return socket_.local_endpoint(); }

  struct Counters {
    std::uint64_t received = 0;
    std::uint64_t rejected = 0;  // from addresses that are not admitted
    std::uint64_t sent = 0;
    std::uint64_t not_sent = 0;
    std::uint64_t bytes_sent = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  static constexpr std::size_t kMaxDatagram = 2048;  // bytes

  void arm();
  void on_readable();

  boost::asio::ip::udp::socket socket_;
  const AddressSet admitted_;
  const Receiver receiver_;
  Counters counters_;
  std::array<char, kMaxDatagram> buffer_{};
};

}  // namespace balancer

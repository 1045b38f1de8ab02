#include "net/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace balancer {
namespace {

using boost::system::error_code;
namespace asio = boost::asio;

// Datagrams read per event-loop turn, so that other events are not starved.
constexpr int kBatch = 64;

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& io, const Endpoint& listen, AddressSet admitted,
                               Receiver receiver)
    : socket_(io), admitted_(std::move(admitted)), receiver_(std::move(receiver)) {
  socket_.open(listen.protocol());
  socket_.bind(listen);
  socket_.non_blocking(true);
  arm();
}

void DatagramSocket::arm() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const error_code& e) {
    if (!e) on_readable();
  });
}

void DatagramSocket::on_readable() {
  for (int i = 0; i < kBatch && socket_.is_open(); ++i) {
    Endpoint from;
    error_code error;
    const auto n = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error)
      continue;  // typically ECONNREFUSED, as an earlier datagram was sent to a closed port
    if (!admitted_.contains(from.address())) {
      ++counters_.rejected;
      continue;
    }
    ++counters_.received;
    receiver_(from, {buffer_.data(), n});
  }
  if (socket_.is_open()) arm();
}

void DatagramSocket::send(const Endpoint& to, std::string_view bytes) {
  if (!socket_.is_open()) return;
  error_code error;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
  if (error) {
    ++counters_.not_sent;
  } else {
    ++counters_.sent;
    counters_.bytes_sent += bytes.size();
  }
}

void DatagramSocket::close() {
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace balancer

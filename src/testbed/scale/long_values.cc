#include "testbed/scale/long_values.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

namespace balancer::testbed::scale {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

// The longest value that the balancer forwards.
constexpr std::size_t kValueBytes = 4u << 20;
// Small, so that the client's receive buffer absorbs little of the value.
constexpr int kClientBuffer = 4096;

// Returns the word after " O" in a command line; empty if there is none.
std::string request_id(const std::string& line) {
  const auto at = line.find(" O");
  if (at == std::string::npos) return {};
  const auto end = line.find_first_of(" \r", at + 1);
  return line.substr(at + 2, end - at - 2);
}

}  // namespace

struct LongValueHost::Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::string in, head;
};

LongValueHost::LongValueHost(asio::io_context& io)
    : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      value_(std::string(kValueBytes, 'v') + "\r\n") {
  accept();
}

std::string LongValueHost::dial() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void LongValueHost::accept() {
  acceptor_.async_accept([this](const error_code& e, tcp::socket socket) {
    if (e) return;
    read(std::make_shared<Connection>(std::move(socket)));
    accept();
  });
}

void LongValueHost::read(const std::shared_ptr<Connection>& connection) {
  asio::async_read_until(
      connection->socket, asio::dynamic_buffer(connection->in), "\r\n",
      [this, connection](const error_code& e, std::size_t length) {
        if (e) return;
        const std::string id = request_id(connection->in.substr(0, length));
        connection->in.erase(0, length);
        connection->head = "VA " + std::to_string(kValueBytes) + " O" + id + "\r\n";
        ++begun_;
        const std::array<asio::const_buffer, 2> answer{asio::buffer(connection->head),
                                                       asio::buffer(value_)};
        asio::async_write(connection->socket, answer,
                          [this, connection](const error_code& error, std::size_t) {
                            if (!error) read(connection);
                          });
      });
}

IdleReaders::IdleReaders(asio::io_context& io, const tcp::endpoint& balancer, int count) {
  for (int i = 0; i < count; ++i) {
    tcp::socket& socket = connections_.emplace_back(io);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kClientBuffer));
    socket.connect(balancer);
    char line[96];
    std::snprintf(line, sizeof line, "mg %016x v O%016x Pc=read,t=acme,d=10000\r\n", i + 1, i + 1);
    asio::write(socket, asio::buffer(std::string(line)));
  }
}

}  // namespace balancer::testbed::scale

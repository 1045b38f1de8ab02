#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

#include "testbed/model/base.h"

// Transfers of long values that stay open: a cache host that answers every read with a value that
// exceeds the kernel's socket buffers, and clients that request one and read nothing.
namespace balancer::testbed::scale {

namespace asio = boost::asio;

class LongValueHost {
 public:
  // Listens once constructed. Serves while this object and the loop exist.
  explicit LongValueHost(asio::io_context& io);
  std::string dial() const;
  int begun() const { return begun_; }  // responses started, complete or not

 private:
  struct Connection;
  void accept();
  void read(const std::shared_ptr<Connection>& connection);

  asio::ip::tcp::acceptor acceptor_;
  const std::string value_;
  int begun_ = 0;
};

class IdleReaders {
 public:
  // Opens `count` connections to the balancer and requests a value over each.
  IdleReaders(asio::io_context& io, const asio::ip::tcp::endpoint& balancer, int count);

 private:
  std::deque<asio::ip::tcp::socket> connections_;
};

}  // namespace balancer::testbed::scale

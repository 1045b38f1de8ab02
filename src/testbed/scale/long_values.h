#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

#include "testbed/model/base.h"

// Transfers of long values that stay open: a cache host that answers every read with a value longer
// than the system's buffers hold, and clients that ask for one and read nothing of it.
namespace balancer::testbed::scale {

namespace asio = boost::asio;

class LongValueHost {
 public:
  // Listens when it returns. Serves for as long as it and the loop live.
  explicit LongValueHost(asio::io_context& io);
  std::string dial() const;
  int begun() const { return begun_; }  // answers, whole or not

 private:
  struct Connection;
  void accept();
  void read(const std::shared_ptr<Connection>& connection);

  asio::ip::tcp::acceptor acceptor_;
  const std::string value_;
  int begun_ = 0;
};

class RestingReaders {
 public:
  // `count` clients ask the balancer for a value each, over a connection of their own.
  RestingReaders(asio::io_context& io, const asio::ip::tcp::endpoint& balancer, int count);

 private:
  std::deque<asio::ip::tcp::socket> connections_;
};

}  // namespace balancer::testbed::scale

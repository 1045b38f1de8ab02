#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "frontend/admin/calls.h"

namespace balancer::admin {

// The HTTP/1.1 server for operators' calls, one call a connection. Its descriptors and bytes are
// set aside from the clients', so that no number of clients can exhaust them. Its own callers are
// bounded in number and time: where there are too many, the oldest that has sent no complete call
// is closed.
class AdminServer {
 public:
  // Bounds of its connections, and of its descriptors with the listener's.
  static constexpr std::size_t kMaxCallers = 15;
  static constexpr std::size_t kDescriptors = kMaxCallers + 1;

  // Listens when it returns. Throws std::runtime_error if it cannot.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
              Operations operations);
  ~AdminServer();

  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  // Closes the listener and all connections at once.
  void close();

 private:
  class Session;

  void arm_accept();
  void accept_later();
  void on_acceptable();
  bool make_room();
  void on_ended(const Session& session);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  const Operations operations_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
};

}  // namespace balancer::admin

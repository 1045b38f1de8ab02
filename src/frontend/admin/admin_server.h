#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "frontend/admin/calls.h"

namespace balancer::admin {

// The HTTP/1.1 server for operators' calls; each connection carries one call. Its descriptors and
// bytes are reserved separately from the clients', so that no number of clients can exhaust them.
// Its own connections are bounded in number and duration; when there are too many, an answered one
// or else the oldest one without a complete call is closed.
class AdminServer {
 public:
  // Maximum number of connections, and of descriptors including the listener's.
  static constexpr std::size_t kMaxConnections = 15;
  static constexpr std::size_t kDescriptors = kMaxConnections + 1;

  // Starts listening. Throws std::runtime_error if the address cannot be bound.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
              Operations operations);
  ~AdminServer();

  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  // Closes the listener and all connections immediately.
  void close();

 private:
  class Session;

  void arm_accept();
  void schedule_accept_retry();
  void on_acceptable();
  bool evict_session();
  void on_ended(const Session& session);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  const Operations operations_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
};

}  // namespace balancer::admin

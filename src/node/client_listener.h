#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_set>

#include "node/client_session.h"

namespace silverpin::node {

// Accepts clients and decides which connection must go when descriptors run short. It never closes
// one with a request in work.
class ClientListener {
 public:
  // Throws boost::system::system_error if the address cannot be bound.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 Limits& limits, RequestHandler& handler);

  void on_session_closed(const std::shared_ptr<ClientSession>& session);
  std::size_t sessions() const { return sessions_.size(); }
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  // Closes clients between requests from now on; goes on accepting until stop().
  void drain();
  void stop();
  void close_all();

 private:
  void arm_accept();
  void on_acceptable();
  bool make_room();
  void arm_tick();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits& limits_;
  RequestHandler& handler_;
  std::unordered_set<std::shared_ptr<ClientSession>> sessions_;
  boost::asio::steady_timer tick_;
  bool accepting_ = false;
  bool draining_ = false;
};

}  // namespace silverpin::node

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <unordered_set>

#include "net/client_session.h"

namespace balancer {

// Accepts clients and decides which connection must go when descriptors run short. It never closes
// one with a request in work.
class ClientListener : private SessionOwner {
 public:
  // Closed until open(). `may_go_out`: asked of every request of its clients; empty: always.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 Limits& limits, const Clock& clock, RequestSink& core, MakeDialect make,
                 const SessionTimes& times = {}, ForwardingCheck may_forward = {});

  // Listens; where it does already, nothing. Throws boost::system::system_error if the address
  // cannot be bound. `reuse_port`: another process may listen here too.
  void open(bool reuse_port = false);
  // Takes new clients from a socket that listens already, another process's too.
  void open(Descriptor listening);
  // Accepts nobody any more, once those that wait have been, and gives the connections back between
  // requests, spread from now to `last`. May be opened again.
  void shut(Time last);

  bool is_open() const { return acceptor_.is_open(); }
  std::size_t sessions() const { return sessions_.size(); }
  boost::asio::ip::tcp::endpoint local() const { return local_; }
  // Goes on accepting until stop(), and gives the connections back between requests: spread evenly
  // from `first` to `last`, those that come later too.
  void drain(Time first, Time last);
  // Ends a drain: connections are kept again.
  // What waits for memory to be read is refused: this process ends.
  void reject_unread();
  void keep();
  // Accepts nobody for now; who comes waits, or is taken by another process that listens on the
  // same socket.
  void pause();
  void resume();
  // Another descriptor of the listening socket; none if it is closed.
  Descriptor listening() const;
  // From now on connections go to `taken` between requests, one at a time while `may` says so.
  // Empty: no more.
  using MayPass = std::function<bool()>;
  using Pass = std::function<void(HandedClient)>;
  void pass_on(MayPass may, Pass pass);
  // Goes on with a client of another process.
  void adopt(HandedClient client);
  // Lets go of those that may go while descriptors beyond the budget are in use.
  void shed();
  // Accepts nobody any more, once those that wait have been. False: for some there was no room, and
  // it has to be called again.
  bool stop();
  void close_all();

 private:
  void on_session_closed(const std::shared_ptr<ClientSession>& session) override;
  bool take_over(ClientSession& session) override;
  std::shared_ptr<ClientSession> make_session(boost::asio::ip::tcp::socket socket);
  void report_aborted_connections();
  void arm_accept();
  void on_acceptable();
  void stop_listening();
  enum class Accepted { kAll, kSome, kNoRoom };
  Accepted accept_some();
  bool make_room();
  void arm_tick();
  void give_back(ClientSession& session);

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint local_;  // with the port that the system gave
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& core_;
  const MakeDialect make_;
  const SessionTimes times_;
  const ForwardingCheck may_forward_;
  std::unordered_set<std::shared_ptr<ClientSession>> sessions_;
  boost::asio::steady_timer tick_;
  bool accepting_ = false;
  bool paused_ = false;
  MayPass may_pass_;
  Pass pass_;
  struct GiveBack {
    Time first, last;
    double part = 0;  // of the time between them, for the connection that was counted last
  };
  std::optional<GiveBack> give_back_;  // set in a drain
};

}  // namespace balancer

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

#include "net/client_session.h"

namespace balancer {

// Accepts clients on one address, and decides which connection to close when descriptors run short:
// never one with a request in flight.
class ClientListener : private SessionOwner {
 public:
  // Closed until open(). `may_forward`: asked for every request of its clients; empty: always. All
  // references outlive the listener.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 Limits& limits, const Clock& clock, RequestSink& core, MakeDialect make_dialect,
                 const SessionTimes& times = {}, ForwardingCheck may_forward = {});

  // ---- accepting

  // Listens; without effect if it does already. Throws boost::system::system_error if the address
  // cannot be bound. `reuse_port`: another process may listen here too.
  void open(bool reuse_port = false);
  // Accepts from a socket that listens already, for example another process's.
  void open(Descriptor listening);
  bool is_open() const { return acceptor_.is_open(); }
  boost::asio::ip::tcp::endpoint local() const { return local_; }
  // Accepts nobody for now: clients wait in the backlog, or are accepted by another process that
  // listens on the same socket.
  void pause();
  void resume();
  // Another descriptor of the listening socket; none if it is closed.
  Descriptor listening() const;

  // ---- draining

  // Goes on accepting until stop(), and closes connections between requests, spread evenly from
  // `first` to `last`; also those that are accepted later.
  void drain(Time first, Time last);
  void cancel_drain();
  // Accepts the clients that wait in the backlog, and closes the listening socket. False: there was
  // no room for some of them, and it has to be called again.
  bool stop();
  // Stops, and drains the connections from now to `last`. May be opened again.
  void shut(Time last);
  // Rejects requests that are unread for want of memory, before the process ends.
  void reject_unread();
  // Closes everything at once.
  void close_all();

  // ---- connections

  std::size_t sessions() const { return sessions_.size(); }
  // Closes connections without a request while more descriptors are in use than the limit allows.
  void close_excess();
  // From now on connections between requests go to `transfer`, one at a time while `may_transfer`
  // says so. Empty functions: no more.
  using MayTransfer = std::function<bool()>;
  using Transfer = std::function<void(HandedClient)>;
  void transfer_clients(MayTransfer may_transfer, Transfer transfer);
  // Goes on with a client of another process.
  void adopt(HandedClient client);

 private:
  enum class AcceptResult { kNoneLeft, kMoreMayWait, kNoRoom };
  using SessionPtr = std::shared_ptr<ClientSession>;

  // Spreads the ends of connections over a drain.
  struct DrainSchedule {
    Time first;
    Time last;
    double fraction = 0;  // of the time between them, for the connection that came last

    Time next();
  };

  // SessionOwner
  void on_session_closed(const SessionPtr& session) override;
  bool transfer(ClientSession& session) override;

  SessionPtr make_session(boost::asio::ip::tcp::socket socket);
  // A copy, as sessions leave the set when they close.
  std::vector<SessionPtr> all_sessions() const { return {sessions_.begin(), sessions_.end()}; }
  void report_aborted_connections();
  void arm_accept();
  void on_acceptable();
  AcceptResult accept_batch();
  void close_acceptor();
  bool make_room();
  void arm_tick();

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint local_;  // with the port that the system assigned
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& core_;
  const MakeDialect make_dialect_;
  const SessionTimes times_;
  const ForwardingCheck may_forward_;
  std::unordered_set<SessionPtr> sessions_;
  boost::asio::steady_timer tick_timer_;
  bool accept_pending_ = false;  // a wait for clients is pending
  bool paused_ = false;
  MayTransfer may_transfer_;
  Transfer transfer_;
  std::optional<DrainSchedule> drain_;
};

}  // namespace balancer

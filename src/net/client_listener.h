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

// Accepts clients on one address and owns their sessions. When descriptors run short, it decides
// which connection to close, and never closes one with a request in flight.
class ClientListener : private SessionOwner {
 public:
  // Does not listen until open(). `may_forward` is called for every request; if it is empty, all
  // requests may be forwarded. All references must outlive the listener.
  ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 Limits& limits, const Clock& clock, RequestSink& core,
                 ProtocolHandlerFactory make_protocol_handler, const SessionTimeouts& times = {},
                 ForwardingCheck may_forward = {});

  // ---- accepting

  // Starts listening; no effect if already open. Throws boost::system::system_error if the address
  // cannot be bound. `reuse_port`: sets SO_REUSEPORT, so that another process can listen on the
  // same address.
  void open(bool reuse_port = false);
  // Accepts on a socket that is already listening, for example one passed by another process.
  void open(Descriptor listening);
  bool is_open() const { return acceptor_.is_open(); }
  boost::asio::ip::tcp::endpoint local() const { return local_; }
  // Stops accepting until resume(). Clients wait in the backlog, or are accepted by another process
  // that listens on the same socket.
  void pause();
  void resume();
  // Returns a duplicate of the listening socket's descriptor; an empty one if it is closed.
  Descriptor listening() const;

  // ---- draining

  // Closes connections between requests, at times spread evenly from `first` to `last`, including
  // those accepted later. Accepting continues until stop().
  void drain(Time first, Time last);
  void cancel_drain();
  // Accepts the clients in the backlog and closes the listening socket. Returns false if
  // descriptors ran out before the backlog was empty; the socket stays open and the caller must
  // call again.
  bool stop();
  // Closes the listening socket and drains the connections from now to `last`. The listener may be
  // opened again.
  void stop_and_drain(Time last);
  // Rejects requests that are unread because memory is short; called before the process ends.
  void reject_unread();
  // Closes the listening socket and all connections immediately.
  void close_all();

  // ---- connections

  std::size_t sessions() const { return sessions_.size(); }
  // Closes connections without a request in flight while more descriptors are in use than the limit
  // allows.
  void close_excess();
  // From now on passes connections that are between requests to `transfer`, one at a time while
  // `may_transfer` returns true. Empty functions end the transfer.
  using MayTransfer = std::function<bool()>;
  using Transfer = std::function<void(TransferredClient)>;
  void transfer_clients(MayTransfer may_transfer, Transfer transfer);
  // Takes over a client connection from another process.
  void adopt(TransferredClient client);

 private:
  enum class AcceptResult { kNoneLeft, kMoreMayWait, kCannotAccept };
  using SessionPtr = std::shared_ptr<ClientSession>;

  // Spreads the closing of connections over a drain.
  struct DrainSchedule {
    Time first;
    Time last;
    double fraction = 0;  // position in [first, last] of the most recent connection

    Time next();
  };

  // SessionOwner
  void on_session_closed(const SessionPtr& session) override;
  bool transfer(ClientSession& session) override;

  SessionPtr make_session(boost::asio::ip::tcp::socket socket);
  // Returns a copy, as sessions are erased from the set when they close.
  std::vector<SessionPtr> all_sessions() const { return {sessions_.begin(), sessions_.end()}; }
  void enable_connection_aborted_errors();
  void arm_accept();
  void on_acceptable();
  AcceptResult accept_batch();
  void close_acceptor();
  bool close_one_connection();
  void arm_tick();

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint local_;  // with the port assigned by the kernel
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& request_sink_;
  const ProtocolHandlerFactory make_protocol_handler_;
  const SessionTimeouts times_;
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

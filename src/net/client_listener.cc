#include "net/client_listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr int kBacklog = 4096;
// Connections accepted per event-loop turn, so that other events are not starved.
constexpr int kAcceptBatch = 64;
// Time within which a client that intends to send a request has sent its first byte.
constexpr Duration kFirstByteGrace = std::chrono::milliseconds(300);
// Time within which most clients have written a complete command.
constexpr Duration kCommandGrace = std::chrono::milliseconds(1000);
// The same for a client that goes on writing one.
constexpr Duration kSlowCommandGrace = std::chrono::seconds(10);
// An actively used connection sends its next request within this time.
constexpr Duration kReuseInterval = std::chrono::seconds(2);

// The order in which connections are closed to free descriptors, lowest value first. In a
// connection flood most connections never send a request; they must not displace clients that were
// served and reuse their connection. A client that has sent part of a command is probably
// legitimate but slow.
enum class ClosePriority {
  kProtocolError,
  kSilent,
  kLongIdle,
  kIdle,
  kNew,
  kSlowCommand,
  kKeep,  // never closed to free a descriptor: requests in flight, or a recently begun command
};

ClosePriority close_priority(const ClientSession& session, Time now) {
  const Duration in_state = now - session.state_since();
  switch (session.state()) {
    case ClientSession::State::kProtocolError:
      return ClosePriority::kProtocolError;
    case ClientSession::State::kAwaitingFirstRequest:
      return in_state > kFirstByteGrace ? ClosePriority::kSilent : ClosePriority::kNew;
    case ClientSession::State::kIdle:
      return in_state > kReuseInterval ? ClosePriority::kLongIdle : ClosePriority::kIdle;
    case ClientSession::State::kReadingCommand:
      // A client that goes on writing may be sound.
      return now - session.last_read() > kCommandGrace || in_state > kSlowCommandGrace
                 ? ClosePriority::kSlowCommand
                 : ClosePriority::kKeep;
    default:
      return ClosePriority::kKeep;
  }
}

}  // namespace

ClientListener::ClientListener(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                               Limits& limits, const Clock& clock, RequestSink& request_sink,
                               ProtocolHandlerFactory make_protocol_handler,
                               const SessionTimeouts& times, ForwardingCheck may_forward)
    : io_(io),
      listen_(listen),
      local_(listen),
      acceptor_(io),
      limits_(limits),
      clock_(clock),
      request_sink_(request_sink),
      make_protocol_handler_(std::move(make_protocol_handler)),
      times_(times),
      may_forward_(std::move(may_forward)),
      tick_timer_(io) {
  arm_tick();
}

void ClientListener::open(bool reuse_port) {
  if (acceptor_.is_open()) return;
  try {
    acceptor_.open(listen_.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    const int on = 1;
    if (reuse_port &&
        ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0)
      throw boost::system::system_error(errno, boost::system::system_category());
    acceptor_.bind(listen_);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    enable_connection_aborted_errors();
  } catch (...) {
    error_code ignored;
    acceptor_.close(ignored);
    throw;
  }
  local_ = acceptor_.local_endpoint();
  drain_.reset();
  arm_accept();
}

void ClientListener::open(Descriptor listening) {
  if (acceptor_.is_open()) return;
  acceptor_.assign(listen_.protocol(), listening.get());
  listening.release();
  acceptor_.non_blocking(true);
  enable_connection_aborted_errors();
  local_ = acceptor_.local_endpoint();
  drain_.reset();
  arm_accept();
}

// Makes accept() report connections that were reset while they waited in the backlog. Without this
// option accept() waits for the next connection instead, which blocks the event loop even though
// the acceptor is non-blocking.
void ClientListener::enable_connection_aborted_errors() {
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

void ClientListener::stop_and_drain(Time last) {
  stop();  // if it fails, the rest of the backlog is reset by close_acceptor()
  close_acceptor();
  const Time now = clock_.now();
  drain(now, std::max(now, last));
}

void ClientListener::arm_accept() {
  if (accept_pending_ || paused_ || !acceptor_.is_open()) return;
  accept_pending_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const error_code& e) {
    accept_pending_ = false;
    if (!e && !paused_) return on_acceptable();
    arm_accept();
  });
}

void ClientListener::on_acceptable() {
  // When descriptors are short, new clients wait in the backlog until the next tick.
  if (accept_batch() != AcceptResult::kCannotAccept) arm_accept();
}

ClientListener::AcceptResult ClientListener::accept_batch() {
  for (int i = 0; i < kAcceptBatch; ++i) {
    if (!limits_.clients.room_for(1) && !close_one_connection()) return AcceptResult::kCannotAccept;
    asio::ip::tcp::socket socket(io_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::connection_aborted || error == asio::error::interrupted) continue;
    if (error == asio::error::would_block || error == asio::error::try_again)
      return AcceptResult::kNoneLeft;
    // For example out of descriptors or memory: the acceptor stays readable, so waiting for it
    // would spin.
    if (error) return AcceptResult::kCannotAccept;
    const auto session = make_session(std::move(socket));
    session->start();
    if (drain_) session->drain(drain_->next());
  }
  return AcceptResult::kMoreMayWait;
}

ClientListener::SessionPtr ClientListener::make_session(asio::ip::tcp::socket socket) {
  SessionOwner& owner = *this;
  auto session =
      std::make_shared<ClientSession>(std::move(socket), limits_, clock_, request_sink_, owner,
                                      make_protocol_handler_(), times_, may_forward_);
  sessions_.insert(session);
  return session;
}

// ---- hot restart: sharing the listening socket and transferring connections

void ClientListener::pause() {
  paused_ = true;
  if (!accept_pending_ || !acceptor_.is_open()) return;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ClientListener::resume() {
  if (std::exchange(paused_, false)) arm_accept();
}

Descriptor ClientListener::listening() const {
  if (!acceptor_.is_open()) return {};
  auto& acceptor = const_cast<asio::ip::tcp::acceptor&>(acceptor_);
  return Descriptor(::fcntl(acceptor.native_handle(), F_DUPFD_CLOEXEC, 0));
}

void ClientListener::transfer_clients(MayTransfer may_transfer, Transfer transfer) {
  may_transfer_ = std::move(may_transfer);
  transfer_ = std::move(transfer);
  if (!may_transfer_) return;
  for (const SessionPtr& session : all_sessions())
    if (session->can_release()) this->transfer(*session);
}

bool ClientListener::transfer(ClientSession& session) {
  if (!may_transfer_ || !may_transfer_()) return false;
  transfer_(session.release());
  return true;
}

void ClientListener::adopt(TransferredClient client) {
  asio::ip::tcp::socket socket(io_);
  error_code error;
  socket.assign(listen_.protocol(), client.socket.get(), error);
  if (error) return;
  client.socket.release();
  const auto session = make_session(std::move(socket));
  session->resume(client);
  if (drain_) session->drain(drain_->next());
}

// ---- connections

void ClientListener::close_excess() {
  while (limits_.clients.used() > limits_.clients.max() && close_one_connection()) {
  }
}

// Closes the connection with the lowest ClosePriority, and among those the one that has been in its
// state for the longest time. A connection with unread input is skipped, as its client has just
// sent something, unless it is in a protocol error.
bool ClientListener::close_one_connection() {
  const Time now = clock_.now();
  SessionPtr chosen;
  std::pair<ClosePriority, Time> chosen_rank{ClosePriority::kKeep, Time::max()};
  for (const SessionPtr& session : sessions_) {
    const std::pair rank{close_priority(*session, now), session->state_since()};
    if (rank.first == ClosePriority::kKeep || rank >= chosen_rank) continue;
    if (rank.first != ClosePriority::kProtocolError && session->has_input()) continue;
    chosen_rank = rank;
    chosen = session;
  }
  if (chosen) chosen->close(Event::kClientForDescriptors);
  return chosen != nullptr;
}

void ClientListener::on_session_closed(const SessionPtr& session) { sessions_.erase(session); }

void ClientListener::arm_tick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    const Time now = clock_.now();
    for (const SessionPtr& session : all_sessions()) session->tick(now);
    arm_accept();
    arm_tick();
  });
}

// ---- draining

// Returns the close time for the next connection. Multiples of the golden ratio modulo 1 cover the
// interval evenly for any number of connections. If all were closed at once, their clients would
// reconnect to the remaining balancers at the same moment.
Time ClientListener::DrainSchedule::next() {
  constexpr double kGoldenRatioFraction = 0.6180339887498949;
  fraction += kGoldenRatioFraction;
  if (fraction >= 1) fraction -= 1;
  const auto length = static_cast<double>((last - first).count());
  return first + Duration(static_cast<Duration::rep>(length * fraction));
}

void ClientListener::drain(Time first, Time last) {
  drain_ = DrainSchedule{first, last};
  for (const SessionPtr& session : all_sessions()) session->drain(drain_->next());
}

void ClientListener::reject_unread() {
  for (const SessionPtr& session : all_sessions()) session->reject_unread();
}

void ClientListener::cancel_drain() {
  drain_.reset();
  for (const SessionPtr& session : sessions_) session->cancel_drain();
}

// Accepts the clients in the backlog first, as the kernel resets them when the socket is closed.
bool ClientListener::stop() {
  if (!acceptor_.is_open()) return true;
  if (!paused_) {
    AcceptResult accepted = AcceptResult::kMoreMayWait;
    for (int i = 0; i < kBacklog / kAcceptBatch && accepted == AcceptResult::kMoreMayWait; ++i)
      accepted = accept_batch();
    if (accepted == AcceptResult::kCannotAccept) return false;
  }
  close_acceptor();
  return true;
}

void ClientListener::close_acceptor() {
  error_code ignored;
  acceptor_.close(ignored);
}

void ClientListener::close_all() {
  stop();
  close_acceptor();
  tick_timer_.cancel();
  for (const SessionPtr& session : all_sessions()) session->close(Event::kClientDrained);
}

}  // namespace balancer

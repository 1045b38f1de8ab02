#include "net/client_listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr int kBacklog = 4096;
// Accepted at one go before others get their turn.
constexpr int kAcceptBatch = 64;
// A client that comes to ask does so at once, and may take a while to write its command.
constexpr Duration kSpeaks = std::chrono::milliseconds(300);
constexpr Duration kWrites = std::chrono::milliseconds(1000);
// A client that is busy asks again sooner than this.
constexpr Duration kComesBack = std::chrono::seconds(2);

}  // namespace

ClientListener::ClientListener(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                               Limits& limits, const Clock& clock, RequestSink& core,
                               MakeDialect make, const SessionTimes& times,
                               ForwardingCheck may_forward)
    : io_(io),
      listen_(listen),
      local_(listen),
      acceptor_(io),
      limits_(limits),
      clock_(clock),
      core_(core),
      make_(std::move(make)),
      times_(times),
      may_forward_(std::move(may_forward)),
      tick_(io) {
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
    report_aborted_connections();
  } catch (...) {
    error_code ignored;
    acceptor_.close(ignored);
    throw;
  }
  local_ = acceptor_.local_endpoint();
  give_back_.reset();
  arm_accept();
}

void ClientListener::open(Descriptor listening) {
  if (acceptor_.is_open()) return;
  acceptor_.assign(listen_.protocol(), listening.get());
  listening.release();
  acceptor_.non_blocking(true);
  report_aborted_connections();
  local_ = acceptor_.local_endpoint();
  give_back_.reset();
  arm_accept();
}

// Without this accept() of a non-blocking acceptor waits for the next connection where one that was
// waiting has been reset, and the whole event loop with it.
void ClientListener::report_aborted_connections() {
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

void ClientListener::shut(Time last) {
  stop();
  stop_listening();
  const Time now = clock_.now();
  drain(now, std::max(now, last));
}

void ClientListener::arm_accept() {
  if (accepting_ || paused_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const error_code& e) {
    accepting_ = false;
    if (!e && !paused_) return on_acceptable();
    arm_accept();
  });
}

void ClientListener::on_acceptable() {
  // With nobody to make room, new clients wait in the backlog; the tick looks again.
  if (accept_some() != Accepted::kNoRoom) arm_accept();
}

ClientListener::Accepted ClientListener::accept_some() {
  for (int i = 0; i < kAcceptBatch; ++i) {
    if (!limits_.clients.room_for(1) && !make_room()) return Accepted::kNoRoom;
    asio::ip::tcp::socket socket(io_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::connection_aborted || error == asio::error::interrupted) continue;
    if (error == asio::error::would_block || error == asio::error::try_again) return Accepted::kAll;
    // Out of descriptors or memory: to wait for readiness would spin.
    if (error) return Accepted::kNoRoom;
    const auto session = make_session(std::move(socket));
    session->start();
    if (give_back_) give_back(*session);
  }
  return Accepted::kSome;
}

std::shared_ptr<ClientSession> ClientListener::make_session(asio::ip::tcp::socket socket) {
  SessionOwner& owner = *this;
  auto session = std::make_shared<ClientSession>(std::move(socket), limits_, clock_, core_, owner,
                                                 make_(), times_, may_forward_);
  sessions_.insert(session);
  return session;
}

// ---- beside another process

void ClientListener::pause() {
  paused_ = true;
  if (!accepting_ || !acceptor_.is_open()) return;
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

void ClientListener::pass_on(MayPass may, Pass pass) {
  may_pass_ = std::move(may);
  pass_ = std::move(pass);
  if (!may_pass_) return;
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    if (session->can_release()) take_over(*session);
}

bool ClientListener::take_over(ClientSession& session) {
  if (!may_pass_ || !may_pass_()) return false;
  pass_(session.release());
  return true;
}

void ClientListener::adopt(HandedClient client) {
  asio::ip::tcp::socket socket(io_);
  error_code error;
  socket.assign(listen_.protocol(), client.socket.get(), error);
  if (error) return;
  client.socket.release();
  const auto session = make_session(std::move(socket));
  session->resume(client);
  if (give_back_) give_back(*session);
}

void ClientListener::shed() {
  while (limits_.clients.used() > limits_.clients.max() && make_room()) {
  }
}

// In a crowd most connections never ask for anything. First to go are those that are being turned
// away or have had time to speak; clients that were served and come back must not be driven out by
// them. Those that have begun a command go only where nothing else is left: slow writers are honest
// more often than not.
bool ClientListener::make_room() {
  const Time now = clock_.now();
  constexpr int kKeeps = 6;  // in work, or has just begun its command
  const auto rank = [now](const ClientSession& s) {
    const Duration age = now - s.since();
    switch (s.rest()) {
      case ClientSession::Rest::kFaulty:
        return 0;
      case ClientSession::Rest::kSilent:
        return age > kSpeaks ? 1 : 4;
      case ClientSession::Rest::kServed:
        return age > kComesBack ? 2 : 3;
      case ClientSession::Rest::kPartial:
        return age > kWrites ? 5 : kKeeps;
      default:
        return kKeeps;
    }
  };
  std::shared_ptr<ClientSession> best;
  std::pair<int, Time> best_rank{kKeeps, Time::max()};
  for (const auto& s : sessions_) {
    const std::pair<int, Time> r{rank(*s), s->since()};
    const bool speaking = r.first > 0;  // for those, input means that they just spoke
    if (r < best_rank && r.first < kKeeps && !(speaking && s->has_input())) {
      best_rank = r;
      best = s;
    }
  }
  if (best) best->close();
  return best != nullptr;
}

void ClientListener::on_session_closed(const std::shared_ptr<ClientSession>& session) {
  sessions_.erase(session);
}

void ClientListener::arm_tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const error_code& e) {
    if (e) return;
    const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
    const Time now = clock_.now();
    for (const auto& session : all) session->tick(now);
    arm_accept();
    arm_tick();
  });
}

// Clients go on using what they have, and each that loses it needs another balancer at that moment.
// Given back all at once, they would come down together on the ones left, or find none: where
// balancers restart in turn, the one before may not be in use again yet.
void ClientListener::give_back(ClientSession& session) {
  // The golden ratio's multiples, less their whole parts, fill the time evenly for any number.
  give_back_->part += 0.6180339887498949;
  if (give_back_->part >= 1) give_back_->part -= 1;
  const auto length = static_cast<double>((give_back_->last - give_back_->first).count());
  session.drain(give_back_->first +
                Duration(static_cast<Duration::rep>(length * give_back_->part)));
}

void ClientListener::drain(Time first, Time last) {
  give_back_ = GiveBack{first, last};
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) give_back(*session);
}

void ClientListener::reject_unread() {
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->reject_unread();
}

void ClientListener::keep() {
  give_back_.reset();
  for (const auto& session : sessions_) session->keep();
}

// Those in the backlog count as accepted: the system resets them where the socket is closed.
bool ClientListener::stop() {
  if (!acceptor_.is_open()) return true;
  if (!paused_) {
    Accepted accepted = Accepted::kSome;
    for (int i = 0; i < kBacklog / kAcceptBatch && accepted == Accepted::kSome; ++i)
      accepted = accept_some();
    if (accepted == Accepted::kNoRoom) return false;
  }
  stop_listening();
  return true;
}

void ClientListener::stop_listening() {
  error_code ignored;
  acceptor_.close(ignored);
}

void ClientListener::close_all() {
  stop();
  stop_listening();
  tick_.cancel();
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->close();
}

}  // namespace balancer

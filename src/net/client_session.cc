#include "net/client_session.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadSize = 16u << 10;  // bytes read in one call
// Unwritten response bytes at which a client may not begin another request.
constexpr std::size_t kMaxUnwritten = 256u << 10;
// Commands processed per event-loop turn, so that other clients are not starved.
constexpr int kMaxCommandsPerTurn = 32;
// Maximum unprocessed input that is transferred to another process with its connection, in bytes.
constexpr std::size_t kMaxTransferredInput = 16u << 10;

// A client that stops in the middle of a command is ended after this time.
constexpr Duration kCommandPause = std::chrono::milliseconds(2500);
// The same for the first command of a connection that was accepted some time ago: clients that
// never complete one are owed an end within 3 s of connecting.
constexpr Duration kFirstCommandPause = std::chrono::milliseconds(1000);
// Time within which a command must be read, provided that it keeps arriving; a body has more, at
// this rate.
constexpr Duration kCommandTimeout = std::chrono::seconds(30);
constexpr std::size_t kMinBodyBytesPerSecond = 4u << 10;
// Time without progress after which a client that does not read its response is closed, and the
// same where memory is short. The window of a client that reads slowly opens in steps of 64 KB.
constexpr Duration kWriteTimeout = std::chrono::seconds(15);
constexpr Duration kShortWriteTimeout = std::chrono::seconds(5);
// Progress is looked for in the socket only after this time without a write.
constexpr Duration kWriteObservation = std::chrono::seconds(1);
// Idle timeout for a client that has sent only one request, when descriptors are short: the client
// may itself be limited in connections, and other clients wait for the descriptor. Clients that
// have reused their connection keep the normal timeout.
constexpr Duration kSingleUseIdleTimeout = std::chrono::milliseconds(100);
// Maximum time that a body waits for memory, even if its client's deadline is longer.
constexpr Duration kMaxBodyMemoryWait = std::chrono::milliseconds(2000);
// During a drain, time for a new client to send its first byte.
constexpr Duration kDrainFirstByteTimeout = std::chrono::milliseconds(300);
// Delay of an error response. Clients that send malformed input mostly reconnect at once, and would
// otherwise use up the accept rate.
constexpr Duration kErrorDelay = std::chrono::milliseconds(250);
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// Reads per tick while lingering; remaining input stays in the kernel's buffer.
constexpr int kLingerReads = 4;

}  // namespace

ClientSession::ClientSession(asio::ip::tcp::socket socket, Limits& limits, const Clock& clock,
                             RequestSink& core, SessionOwner& owner,
                             std::unique_ptr<ProtocolHandler> protocol_handler,
                             const SessionTimeouts& times, const ForwardingCheck& may_forward)
    : socket_(std::move(socket)),
      limits_(limits),
      clock_(clock),
      core_(core),
      owner_(owner),
      protocol_handler_(std::move(protocol_handler)),
      times_(times),
      may_forward_(may_forward),
      descriptor_(limits.clients, 1),
      body_(limits.bytes, 0, MemoryHolder::kBodies),
      buffered_(limits.bytes, 0, MemoryHolder::kInput),
      responses_(socket_, limits.bytes, clock),
      accepted_at_(clock.now()),
      state_since_(accepted_at_) {}

void ClientSession::start() {
  error_code error;
  socket_.non_blocking(true, error);
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (error) return close_soon(Event::kClientLeft);
  arm_read();
}

void ClientSession::resume(const TransferredClient& from) {
  answered_ = from.requests_answered;
  start();
  if (closed_ || from.input.empty()) return;
  protocol_handler_->feed(from.input);
  schedule_processing();
}

bool ClientSession::can_release() const {
  if (closed_ || !responses_.empty() || has_stopped_reading() || lingering_) return false;
  if (blocked_ || processing_posted_) return false;
  const auto unread = protocol_handler_->unprocessed_input();
  return unread && unread->size() <= kMaxTransferredInput;
}

TransferredClient ClientSession::release() {
  error_code error;
  TransferredClient handed{Descriptor(socket_.release(error)),
                           *protocol_handler_->unprocessed_input(), answered_};
  close();
  return handed;
}

// ---- reading

void ClientSession::arm_read() {
  if (read_pending_ || closed_ || blocked_ || processing_posted_ || has_stopped_reading()) return;
  read_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->read_pending_ = false;
                       if (!error && !self->closed_) self->on_readable();
                     });
}

void ClientSession::on_readable() {
  static std::array<char, kReadSize> buffer;  // one thread reads one connection at a time
  if (!limits_.has_memory(MemoryUse::kInput, kReadSize)) return wait_for_memory();
  error_code error;
  const auto n = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again ||
      error == asio::error::interrupted) {
    unread_since_ = Time{0};
    return arm_read();
  }
  if (error) return close(Event::kClientLeft);
  last_read_ = clock_.now();
  blocked_since_ = Time{0};
  if (protocol_handler_->between_commands()) state_since_ = last_read_;
  protocol_handler_->feed({buffer.data(), n});
  process_commands();
  if (n < kReadSize && !blocked_) unread_since_ = Time{0};  // the socket is empty
}

// Resumed by a tick once memory is available.
void ClientSession::wait_for_memory() {
  if (unread_since_ == Time{0}) unread_since_ = clock_.now();
  block();
}

Duration ClientSession::unread_age() const {
  return unread_since_ == Time{0} ? Duration{0} : clock_.now() - unread_since_;
}

void ClientSession::block() {
  if (std::exchange(blocked_, true)) return;
  if (blocked_since_ == Time{0}) blocked_since_ = clock_.now();
}

void ClientSession::process_commands() {
  blocked_ = false;
  processing_ = true;
  take_commands();
  processing_ = false;
  // The session was waiting for an earlier request, not for memory.
  if (!blocked_ && !has_input()) blocked_since_ = Time{0};
  if (has_stopped_reading()) {
    error_response_at_ = clock_.now() + kErrorDelay;
    discard_input();
  }
  account_input();
  flush();
  arm_read();
}

// A short body has no reservation of its own, so it counts as input.
void ClientSession::account_input() {
  const std::size_t body = body_.size() > 0 ? 0 : protocol_handler_->body_length();
  buffered_.resize(protocol_handler_->buffered_bytes() + body);
}

void ClientSession::take_commands() {
  for (int taken = 0; !has_stopped_reading(); ++taken) {
    if (!may_begin_request()) return block();
    if (!reserve_body()) return wait_for_memory();
    if (taken == kMaxCommandsPerTurn) return schedule_processing();
    const auto step = protocol_handler_->step(*this);
    if (step == ProtocolHandler::Step::kNeedMoreInput) {
      if (!reserve_body()) wait_for_memory();
      return;
    }
    if (step == ProtocolHandler::Step::kBlocked) return block();
    state_since_ = clock_.now();
    blocked_since_ = Time{0};
    if (step == ProtocolHandler::Step::kProtocolError)
      error_response_ = protocol_handler_->error_response();
    if (step == ProtocolHandler::Step::kClose) close_when_written_ = true;
  }
}

void ClientSession::discard_input() {
  protocol_handler_->discard_input();
  body_.resize(0);
}

bool ClientSession::may_begin_request() const {
  if (responses_.empty()) return true;
  return responses_.size() < window_.size() && responses_.unwritten_bytes() < kMaxUnwritten &&
         !limits_.is_memory_short();
}

// Reserves memory for the complete body before any of it is read. Otherwise many partly read bodies
// could exhaust the budget, and none of them could complete. Returns false if there is no room.
bool ClientSession::reserve_body() {
  const auto length = protocol_handler_->body_length();
  if (length <= kSmallBody || body_.size() >= length) return true;
  if (!limits_.has_memory(MemoryUse::kBulk, length - body_.size())) return false;
  body_.resize(length);
  return true;
}

void ClientSession::schedule_processing() {
  if (processing_posted_ || closed_) return;
  processing_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->processing_posted_ = false;
    if (!self->closed_) self->process_commands();
  });
}

void ClientSession::post(std::function<void()> then) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), run = std::move(then)] {
    if (!self->closed_) run();
  });
}

// ---- writing

void ClientSession::answer(std::uint64_t slot, std::string text) {
  if (closed_ || !responses_.complete(slot, std::move(text)) || processing_) return;
  // With other requests in flight, the flush is deferred so that all responses that become ready in
  // this turn are sent in one write.
  if (responses_.size() == 1) return flush();
  schedule_flush();
}

void ClientSession::answer(std::uint64_t slot, std::string head, StreamPtr stream,
                           std::string tail) {
  if (closed_) return stream->abandon();
  const auto on_data = [self = weak_from_this()] {
    if (const auto session = self.lock(); session && !session->flush_posted_) session->flush();
  };
  if (responses_.complete(slot, std::move(head), std::move(stream), std::move(tail), on_data))
    flush();
}

void ClientSession::on_response(ResponseSlot slot, const RequestPayload& payload,
                                Response response) {
  if (response.kind == Response::Kind::kServed) {
    window_.on_served();
  } else {
    window_.on_not_served();
  }
  if (!closed_) return protocol_handler_->on_response(*this, slot, payload, std::move(response));
  if (response.stream) response.stream->abandon();
}

void ClientSession::schedule_flush() {
  if (std::exchange(flush_posted_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->flush();
  });
}

void ClientSession::flush() {
  using WriteState = ResponseQueue::WriteResult::State;
  if (write_pending_ || closed_) return;
  const auto result = responses_.write();
  if (result.completed > 0) state_since_ = clock_.now();
  answered_ += result.completed;
  if (result.wrote_responses && blocked_) schedule_processing();
  if (result.state == WriteState::kSocketFull) return arm_write();
  if (result.state == WriteState::kFailed) return close_soon(Event::kClientLeft);
  if (result.state == WriteState::kStreamBroken) {
    // The close tells the client that the value is incomplete.
    close_when_written_ = true;
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return close_soon(Event::kClientValueBroken);
  }
  if (responses_.empty()) on_all_written();
}

void ClientSession::arm_write() {
  write_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& error) {
                       self->write_pending_ = false;
                       if (!error && !self->closed_) self->flush();
                     });
}

void ClientSession::on_all_written() {
  if (lingering_) return;
  if (error_response_sent_ || close_when_written_) return linger();
  if (!error_response_.empty()) {
    if (clock_.now() < error_response_at_) return;  // sent by a later tick
    error_response_sent_ = true;
    return answer(open_slot(), error_response_);
  }
  // Posted, because this may run inside the core's call that delivers the response, and a transfer
  // or a close calls withdraw() on the core. The conditions are checked again in the posted
  // handler, so that input that has arrived meanwhile is processed first.
  if (drain_at_ && can_release())
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->can_release()) self->owner_.transfer(*self);
    });
  if (may_close_for_drain())
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->may_close_for_drain()) self->close(Event::kClientDrained);
    });
}

// ---- ending

ClientSession::State ClientSession::state() const {
  if (!error_response_.empty() && responses_.empty()) return State::kProtocolError;
  if (!responses_.empty() || blocked_ || processing_posted_) return State::kBusy;
  if (!protocol_handler_->between_commands()) return State::kReadingCommand;
  return has_answered() ? State::kIdle : State::kAwaitingFirstRequest;
}

bool ClientSession::has_input() {
  error_code error;
  return !closed_ && socket_.available(error) > 0 && !error;
}

bool ClientSession::has_disconnected() const {
  pollfd p{const_cast<asio::ip::tcp::socket&>(socket_).native_handle(), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ClientSession::drain(Time close_at) {
  drain_at_ = close_at;
  if (!closed_ && responses_.empty()) on_all_written();
}

bool ClientSession::may_close_for_drain() {
  if (closed_ || !drain_at_ || !responses_.empty() || blocked_ || processing_posted_ ||
      !protocol_handler_->between_commands())
    return false;
  const Time now = clock_.now();
  const bool is_due =
      has_answered() ? now >= *drain_at_ : now - accepted_at_ > kDrainFirstByteTimeout;
  return is_due && !has_input();
}

// Shuts down the sending side and waits for the client to close. Closing a socket with unread input
// resets the connection, and the client might lose the last response.
void ClientSession::linger() {
  lingering_ = true;
  state_since_ = clock_.now();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ClientSession::discard_while_lingering() {
  static std::array<char, kReadSize> buffer;
  for (int i = 0; i < kLingerReads; ++i) {
    error_code error;
    socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return;
    if (error && error != asio::error::interrupted) return close(Event::kClientAnsweredLast);
  }
}

bool ClientSession::is_overdue(Time now) const {
  if (responses_.unwritten_bytes() > 0 || responses_.is_streaming()) return is_write_overdue(now);
  if (!responses_.empty()) return false;  // in flight: bounded by the request's own deadline
  if (blocked_ || !protocol_handler_->between_commands()) return is_command_overdue(now);
  if (!has_answered() && now - accepted_at_ > times_.first_command) return true;
  const Duration in_state = now - state_since_;
  if (answered_ == 1 && limits_.are_client_descriptors_short())
    return in_state > kSingleUseIdleTimeout;
  return in_state > (has_answered() ? times_.idle : times_.first_byte);
}

// A client that goes on writing is not ended, however slowly it writes: it may be sound.
bool ClientSession::is_command_overdue(Time now) const {
  const Duration pause = now - std::max(last_read_, state_since_);
  if (pause > kCommandPause) return true;
  if (!has_answered() && now - accepted_at_ > times_.first_command && pause > kFirstCommandPause)
    return true;
  const auto body_time =
      std::chrono::seconds(protocol_handler_->body_length() / kMinBodyBytesPerSecond);
  return now - state_since_ > kCommandTimeout + body_time;
}

bool ClientSession::is_write_overdue(Time now) const {
  if (!write_pending_) return false;
  const Duration timeout = limits_.is_memory_short() ? kShortWriteTimeout : kWriteTimeout;
  return now - std::max(responses_.last_progress(), acknowledged_at_) > timeout;
}

// While the socket is full, the client may still be reading what the socket holds.
void ClientSession::observe_write_progress(Time now) {
  if (!write_pending_ || now - responses_.last_progress() < kWriteObservation) return;
  int unacknowledged = 0;
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0) return;
  if (std::exchange(unacknowledged_, unacknowledged) != unacknowledged) acknowledged_at_ = now;
}

bool ClientSession::is_waiting_for_memory() {
  if (closed_ || blocked_since_ == Time{0} || !responses_.empty() || has_stopped_reading() ||
      processing_posted_)
    return false;
  return blocked_ || has_input();
}

// Returns how long a request may wait for memory: up to half of the client's deadline if the head
// of the command has been read, and a fixed time if its deadline is not known.
Duration ClientSession::memory_wait() const {
  const auto deadline = protocol_handler_->body_deadline();
  return deadline ? std::min(kMaxBodyMemoryWait, *deadline / 2) : times_.memory_wait;
}

// Sends a response instead of closing, as the client has mostly written its request already and
// would otherwise lose it without a response.
void ClientSession::reject_unread() {
  if (is_waiting_for_memory()) reject_input();
}

void ClientSession::reject_input() {
  limits_.events.add(Event::kRefusedSlowInput);
  error_response_ = protocol_handler_->busy_response();
  error_response_at_ = clock_.now();
  blocked_ = false;
  discard_input();
  buffered_.resize(0);
  on_all_written();
}

void ClientSession::tick(Time now) {
  if (closed_) return;
  if (lingering_) {
    discard_while_lingering();
    if (now - state_since_ > kLingerTimeout) close(Event::kClientAnsweredLast);
    return;
  }
  // While reading is suspended, a close by the client goes unnoticed, and its requests would still
  // be sent much later.
  if (!read_pending_ && has_disconnected()) return close(Event::kClientLeft);
  observe_write_progress(now);
  if (blocked_) process_commands();  // memory may be available now
  if (closed_) return;
  if (is_waiting_for_memory() && now - blocked_since_ > memory_wait()) reject_unread();
  // Unread input is processed before closing, as it may complete a command.
  if (is_overdue(now) && !has_stopped_reading() && !blocked_ && !processing_posted_ &&
      responses_.unwritten_bytes() == 0 && has_input())
    on_readable();
  if (closed_) return;
  // The client may complete its command in this moment, so it gets an answer.
  if (is_overdue(now) && state() == State::kReadingCommand) return reject_input();
  const bool has_unread_response = responses_.unwritten_bytes() > 0 || responses_.is_streaming();
  if (is_overdue(now) && (has_unread_response || blocked_ || !has_input()))
    return close(has_unread_response ? Event::kClientDidNotRead : Event::kClientSilent);
  if (responses_.empty()) on_all_written();
}

void ClientSession::close_soon(Event reason) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), reason] { self->close(reason); });
}

void ClientSession::close(std::optional<Event> reason) {
  if (closed_) return;
  if (reason) limits_.events.add(*reason);
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  descriptor_ = Reservation();
  discard_input();
  buffered_.resize(0);
  const auto self = shared_from_this();
  core_.withdraw(*this);
  responses_.clear();
  owner_.on_session_closed(self);
}

}  // namespace balancer

#include "net/client_session.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadSize = 16u << 10;
constexpr std::size_t kGather = 64u << 10;  // of answers, for one call
// Requests that a client may have in work at once, and what it may leave unread before it can begin
// another.
constexpr std::size_t kMaxPipelined = 256;
constexpr std::size_t kMaxUnread = 256u << 10;
// Commands taken at one go before other clients get their turn.
constexpr int kMaxPerTurn = 32;

// Every state of a connection in which no request is open has an end. Connections that say nothing,
// stop within a command or trickle would otherwise add up until none is left for others. A command
// may take 2 s to write; a slower client has to come again.
constexpr Duration kWriteCommand = std::chrono::milliseconds(2500);
// A body, for which the memory is set aside, may take longer as long as it goes on coming.
constexpr Duration kWriteBody = std::chrono::seconds(30);
// Where descriptors run short, a client that has asked once and not come back keeps a place that
// others need, and may itself be held to so many connections: those ends are waited for by requests
// that never get here. A client that comes back later than this has to connect again; one that has
// come back before is left alone.
constexpr Duration kIdleShort = std::chrono::milliseconds(100);
// A client that takes nothing of its answer for so long is gone.
constexpr Duration kReadAnswer = std::chrono::seconds(5);

// Who sends what makes no sense mostly comes again at once. Held for a moment, such a client costs
// a few connections a second in place of all that the core can accept. An honest client with a slip
// in a command hears of it this much later.
constexpr Duration kHoldFault = std::chrono::milliseconds(250);
constexpr Duration kLinger = std::chrono::seconds(1);
// After a fault so much is read and forgotten on each tick; the rest waits in the kernel and costs
// no work.
constexpr int kDiscardReads = 4;
// What has been read of a command may pass to another process: a line, and what came with it.
constexpr std::size_t kMaxHanded = 16u << 10;
// For which a body waits for memory, where its client waits for longer.
constexpr Duration kBodyMemoryWait = std::chrono::milliseconds(2000);
// In a drain a new client has so long to begin.
constexpr Duration kDrainSpeaks = std::chrono::milliseconds(300);

}  // namespace

ClientSession::ClientSession(asio::ip::tcp::socket socket, Limits& limits, const Clock& clock,
                             RequestSink& core, SessionOwner& owner,
                             std::unique_ptr<Dialect> dialect, const SessionTimes& times,
                             const ForwardingCheck& may_forward)
    : socket_(std::move(socket)),
      limits_(limits),
      clock_(clock),
      core_(core),
      owner_(owner),
      dialect_(std::move(dialect)),
      times_(times),
      may_forward_(may_forward),
      descriptor_(limits.clients, 1),
      body_(limits.bytes),
      buffered_(limits.bytes),
      born_(clock.now()),
      since_(born_) {}

void ClientSession::start() {
  error_code error;
  socket_.non_blocking(true, error);
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (error) return close_soon();
  arm_read();
}

void ClientSession::resume(const HandedClient& from) {
  answered_ = from.answered;
  served_ = answered_ > 0;
  start();
  if (closed_ || from.input.empty()) return;
  dialect_->feed(from.input);
  pump_soon();
}

bool ClientSession::can_release() const {
  if (closed_ || !slots_.empty() || over() || lingering_ || blocked_ || pump_posted_) return false;
  const auto unread = dialect_->unread();
  return unread && unread->size() <= kMaxHanded;
}

HandedClient ClientSession::release() {
  error_code error;
  HandedClient out{Descriptor(socket_.release(error)), *dialect_->unread(), answered_};
  close();
  return out;
}

// ---- reading

void ClientSession::arm_read() {
  if (reading_ || closed_ || blocked_ || pump_posted_ || over()) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& e) {
                       self->reading_ = false;
                       if (!e && !self->closed_) self->on_readable();
                     });
}

void ClientSession::on_readable() {
  static std::array<char, kReadSize> scratch;  // one thread reads one connection at a time
  if (!limits_.bytes.room_for(kReadSize)) {
    block();  // the tick looks again
    return;
  }
  error_code error;
  const auto n = socket_.read_some(asio::buffer(scratch), error);
  if (error == asio::error::would_block || error == asio::error::try_again ||
      error == asio::error::interrupted)
    return arm_read();
  if (error) return close();
  read_ = clock_.now();
  blocked_since_ = Time{0};
  if (dialect_->between_commands()) since_ = read_;
  dialect_->feed({scratch.data(), n});
  pump();
}

void ClientSession::block() {
  if (std::exchange(blocked_, true)) return;
  if (blocked_since_ == Time{0}) blocked_since_ = clock_.now();
}

void ClientSession::pump() {
  blocked_ = false;
  pumping_ = true;
  for (int taken = 0; !over(); ++taken) {
    if (!may_begin() || !reserve_body()) {
      block();
      break;
    }
    if (taken == kMaxPerTurn) {
      pump_soon();
      break;
    }
    const auto step = dialect_->step(*this);
    if (step == Dialect::Step::kMore) {
      if (!reserve_body()) block();
      break;
    }
    if (step == Dialect::Step::kWait) {
      block();
      break;
    }
    since_ = clock_.now();
    blocked_since_ = Time{0};
    // Nothing more is read; what has been taken is answered.
    if (step == Dialect::Step::kFault) fault_ = dialect_->fault();
    if (step == Dialect::Step::kLeave) leaving_ = true;
  }
  pumping_ = false;
  if (!blocked_ && !has_input()) blocked_since_ = Time{0};  // it has waited for an earlier one
  if (over()) {
    fault_at_ = clock_.now() + kHoldFault;
    dialect_->forget();
    body_.resize(0);
  }
  buffered_.resize(dialect_->buffered());
  flush();
  arm_read();
}

std::uint64_t ClientSession::open_slot() {
  slots_.push_back({next_slot_, {}, 0, false, Reservation(limits_.bytes), nullptr, {}});
  return next_slot_++;
}

bool ClientSession::may_begin() const {
  if (slots_.empty()) return true;
  return slots_.size() < kMaxPipelined && unwritten_ < kMaxUnread && !limits_.bytes_short();
}

// A body is read only once the memory for all of it is set aside: many half-read ones would
// otherwise fill it, and none could go on.
bool ClientSession::reserve_body() {
  const auto length = dialect_->body_length();
  if (length <= kSmallBody || body_.size() >= length) return true;
  if (!limits_.bytes.room_for(length - body_.size())) return false;
  body_.resize(length);
  return true;
}

void ClientSession::pump_soon() {
  if (pump_posted_ || closed_) return;
  pump_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->pump_posted_ = false;
    if (!self->closed_) self->pump();
  });
}

void ClientSession::later(std::function<void()> then) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), run = std::move(then)] {
    if (!self->closed_) run();
  });
}

// ---- writing

ClientSession::Slot* ClientSession::find(std::uint64_t slot) {
  if (closed_ || slots_.empty() || slot < slots_.front().number) return nullptr;
  return &slots_[slot - slots_.front().number];
}

void ClientSession::answer(std::uint64_t slot, std::string text) {
  Slot* s = find(slot);
  if (!s || s->complete) return;
  if (unwritten_ == 0) wrote_ = clock_.now();
  s->out = std::move(text);
  s->bytes.resize(s->out.size());
  s->complete = true;
  unwritten_ += s->out.size();
  if (pumping_) return;
  // With others in work what else becomes ready in this turn leaves with it.
  if (slots_.size() == 1) return flush();
  if (std::exchange(flush_posted_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->flush();
  });
}

void ClientSession::answer(std::uint64_t slot, std::string head, StreamPtr stream,
                           std::string tail) {
  Slot* s = find(slot);
  if (!s || s->ready()) return stream->abandon();
  if (unwritten_ == 0) wrote_ = clock_.now();
  unwritten_ += head.size();
  s->out = std::move(head);
  s->stream = std::move(stream);
  s->tail = std::move(tail);
  s->stream->on_data = [self = weak_from_this()] {
    if (const auto session = self.lock(); session && !session->flush_posted_) session->flush();
  };
  flush();
}

void ClientSession::on_response(ResponseSlot ticket, const RequestPayload& payload,
                                Response final) {
  if (!closed_) return dialect_->on_response(*this, ticket, payload, std::move(final));
  if (final.stream) final.stream->abandon();
}

// Answers that are ready leave in one call; large ones from where they are.
void ClientSession::flush() {
  static std::array<char, kGather> scratch;  // one thread writes one connection at a time
  if (writing_ || closed_) return;
  while (!slots_.empty() && slots_.front().ready()) {
    if (slots_.front().stream) {
      const Wrote wrote = flush_stream(slots_.front());
      if (wrote == Wrote::kOn) continue;
      if (wrote == Wrote::kEnded) close_soon();
      return;
    }
    std::size_t filled = 0;
    for (const Slot& s : slots_) {
      const std::size_t left = s.out.size() - s.written;
      if (!s.complete || filled + left > scratch.size()) break;
      std::copy_n(s.out.data() + s.written, left, scratch.data() + filled);
      filled += left;
    }
    const Slot& front = slots_.front();
    const asio::const_buffer buffer(filled > 0 ? scratch.data() : front.out.data() + front.written,
                                    filled > 0 ? filled : front.out.size() - front.written);
    error_code error;
    std::size_t n = 0;
    if (buffer.size() > 0) n = socket_.write_some(asio::const_buffers_1(buffer), error);
    unwritten_ -= n;
    const Time now = clock_.now();
    if (n > 0) wrote_ = now;
    while (!slots_.empty() && slots_.front().complete) {
      Slot& s = slots_.front();
      const auto part = std::min(n, s.out.size() - s.written);
      s.written += part;
      n -= part;
      if (s.written < s.out.size()) break;
      slots_.pop_front();
      served_ = true;
      ++answered_;
      since_ = now;
    }
    if (blocked_) pump_soon();
    if (error == asio::error::would_block || error == asio::error::try_again) return arm_write();
    if (error && error != asio::error::interrupted) return close_soon();
  }
  if (slots_.empty()) on_all_written();
}

// Head, then what has come of the value, and behind the last of it the tail, as an answer like
// others.
ClientSession::Wrote ClientSession::flush_stream(Slot& slot) {
  ValueStream& stream = *slot.stream;
  const bool in_head = slot.written < slot.out.size();
  const std::string_view piece =
      in_head ? std::string_view(slot.out).substr(slot.written) : stream.front();
  if (piece.empty()) {
    if (stream.is_complete()) {
      slot.stream->on_data = nullptr;
      slot.stream = nullptr;
      slot.out = std::move(slot.tail);
      slot.written = 0;
      slot.complete = true;
      unwritten_ += slot.out.size();
      return Wrote::kOn;
    }
    if (!stream.is_broken()) return Wrote::kWait;
    // The client can tell by the close that the value is not whole.
    leaving_ = true;
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return Wrote::kEnded;
  }
  error_code error;
  const auto n = socket_.write_some(asio::const_buffers_1(piece.data(), piece.size()), error);
  if (n > 0) wrote_ = clock_.now();
  if (in_head) {
    slot.written += n;
    unwritten_ -= n;
  } else if (n > 0) {
    const StreamPtr kept = slot.stream;  // the other side may end it from inside
    kept->take(n);
  }
  if (!error || error == asio::error::interrupted) return Wrote::kOn;
  if (error != asio::error::would_block && error != asio::error::try_again) return Wrote::kEnded;
  arm_write();
  return Wrote::kWait;
}

void ClientSession::give_up_streams() {
  for (Slot& s : slots_) {
    if (!s.stream) continue;
    const StreamPtr gone = std::exchange(s.stream, nullptr);
    gone->abandon();
  }
}

void ClientSession::arm_write() {
  writing_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& e) {
                       self->writing_ = false;
                       if (!e && !self->closed_) self->flush();
                     });
}

void ClientSession::on_all_written() {
  if (lingering_) return;
  if (fault_sent_ || leaving_) return linger();
  if (!fault_.empty()) {
    if (clock_.now() < fault_at_) return;  // the tick comes back to it
    fault_sent_ = true;
    return answer(open_slot(), fault_);
  }
  // To another process, if there is one: only in a drain. Never from inside the core's own call
  // that has just brought the answer, as to be taken withdraws from the core.
  if (leave_at_ && can_release())
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->can_release()) self->owner_.take_over(*self);
    });
  // Looked at again at the moment of the close: what has come by then is heard first.
  if (may_leave())
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->may_leave()) self->close();
    });
}

bool ClientSession::may_leave() {
  if (closed_ || !leave_at_ || !slots_.empty() || blocked_ || pump_posted_ ||
      !dialect_->between_commands())
    return false;
  const Time now = clock_.now();
  return (served_ ? now >= *leave_at_ : now - born_ > kDrainSpeaks) && !has_input();
}

// Closing with input unread would reset the connection, and the client might lose the last answer.
void ClientSession::linger() {
  lingering_ = true;
  since_ = clock_.now();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ClientSession::discard() {
  static std::array<char, kReadSize> scratch;
  for (int i = 0; i < kDiscardReads; ++i) {
    error_code error;
    socket_.read_some(asio::buffer(scratch), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return;
    if (error && error != asio::error::interrupted) return close();
  }
}

// ---- ends

ClientSession::Rest ClientSession::rest() const {
  if (!fault_.empty() && slots_.empty()) return Rest::kFaulty;
  if (!slots_.empty() || blocked_ || pump_posted_) return Rest::kBusy;
  if (!dialect_->between_commands()) return Rest::kPartial;
  return served_ ? Rest::kServed : Rest::kSilent;
}

bool ClientSession::has_input() {
  error_code error;
  return !closed_ && socket_.available(error) > 0 && !error;
}

bool ClientSession::has_left() const {
  pollfd p{const_cast<asio::ip::tcp::socket&>(socket_).native_handle(), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ClientSession::drain(Time leave_at) {
  leave_at_ = leave_at;
  if (!closed_ && slots_.empty()) on_all_written();
}

bool ClientSession::overdue(Time now) const {
  if (unwritten_ > 0 || (!slots_.empty() && slots_.front().stream))
    return writing_ && now - wrote_ > kReadAnswer;
  if (!slots_.empty()) return false;  // in work: the request has an end of its own
  if (!served_ && now - born_ > times_.first_command) return true;
  if (dialect_->body_length() > 0) return now - read_ > kWriteCommand || now - since_ > kWriteBody;
  if (blocked_ || !dialect_->between_commands()) return now - since_ > kWriteCommand;
  if (answered_ == 1 && limits_.clients_short()) return now - since_ > kIdleShort;
  return now - since_ > (served_ ? times_.idle : times_.first_byte);
}

bool ClientSession::waits_for_memory() {
  if (closed_ || blocked_since_ == Time{0} || !slots_.empty() || over() || pump_posted_)
    return false;
  return blocked_ || has_input();
}

// A client that has written all of it waits as long as its request says; one that could not be read
// at all may have any deadline.
Duration ClientSession::memory_wait() const {
  const auto deadline = dialect_->body_deadline();
  return deadline ? std::min(kBodyMemoryWait, *deadline / 2) : times_.memory_wait;
}

// Its client has mostly written all of it, and would wait in vain: to close would lose the request.
void ClientSession::reject_unread() {
  if (!waits_for_memory()) return;
  fault_ = dialect_->busy();
  fault_at_ = clock_.now();
  blocked_ = false;
  dialect_->forget();
  body_.resize(0);
  buffered_.resize(0);
  on_all_written();
}

void ClientSession::tick(Time now) {
  if (closed_) return;
  if (lingering_) {
    discard();
    if (now - since_ > kLinger) close();
    return;
  }
  // Where nothing is read, its leaving is not heard either: behind a full pipeline, a fault, a
  // short memory or a command that has to wait, what it had asked for would still go out much
  // later.
  if (!reading_ && has_left()) return close();
  if (blocked_) pump();  // memory may have come free
  if (closed_) return;
  if (waits_for_memory() && now - blocked_since_ > memory_wait()) reject_unread();
  // One that has just spoken is heard first: in this very turn its command may have become whole.
  if (overdue(now) && !over() && !blocked_ && !pump_posted_ && unwritten_ == 0 && has_input())
    on_readable();
  if (closed_) return;
  if (overdue(now) && (rest() == Rest::kPartial || unwritten_ > 0 || blocked_ || !has_input()))
    return close();
  if (slots_.empty()) on_all_written();
}

void ClientSession::close_soon() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

void ClientSession::close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  descriptor_ = Reservation();
  dialect_->forget();
  body_.resize(0);
  buffered_.resize(0);
  unwritten_ = 0;
  const auto self = shared_from_this();
  core_.withdraw(*this);
  give_up_streams();
  slots_.clear();
  owner_.on_session_closed(self);
}

}  // namespace balancer

#include "node/client_session.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace silverpin::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using memcache::ClientError;
using memcache::Command;

constexpr std::size_t kReadSize = 64u << 10;
// Requests that a client may have in work at once, and what it may leave unread before it can begin
// another.
constexpr std::size_t kMostPipelined = 256;
constexpr std::size_t kMostUnread = 256u << 10;
// A command may take 2 s to write; one that takes this long is not coming.
constexpr Duration kWriteCommand = std::chrono::seconds(10);
// A client that takes nothing of its answer for so long is gone.
constexpr Duration kReadAnswer = std::chrono::seconds(30);
constexpr Duration kLinger = std::chrono::seconds(1);

struct HeldCommand {
  Command command;
  Lease body;
};

}  // namespace

ClientSession::ClientSession(asio::ip::tcp::socket socket, Limits& limits, RequestHandler& handler)
    : socket_(std::move(socket)),
      limits_(limits),
      handler_(handler),
      descriptor_(limits.clients, 1),
      body_(limits.bytes),
      since_(handler.now()) {}

void ClientSession::start() {
  error_code error;
  socket_.non_blocking(true, error);
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (error) return close_soon();
  arm_read();
}

// ---- reading

void ClientSession::arm_read() {
  if (reading_ || closed_ || (blocked_ && !lingering_)) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& e) {
                       self->reading_ = false;
                       if (!e && !self->closed_) self->on_readable();
                     });
}

void ClientSession::on_readable() {
  static std::array<char, kReadSize> scratch;  // one thread reads one connection at a time
  error_code error;
  const auto n = socket_.read_some(asio::buffer(scratch), error);
  if (error == asio::error::would_block || error == asio::error::try_again ||
      error == asio::error::interrupted)
    return arm_read();
  if (error) return close();
  if (no_more_) return arm_read();  // what follows a fatal error is read and forgotten
  if (reader_.between_commands()) since_ = handler_.now();
  reader_.feed({scratch.data(), n});
  pump();
}

void ClientSession::pump() {
  blocked_ = false;
  while (!closed_ && !no_more_) {
    if (!may_begin() || !reserve_body()) {
      blocked_ = true;
      return;
    }
    auto item = reader_.next();
    if (!item) {
      if (!reserve_body()) {
        blocked_ = true;
        return;
      }
      break;
    }
    since_ = handler_.now();
    if (const auto* error = std::get_if<ClientError>(&*item)) {
      reply_error(*error);
      continue;
    }
    Command& command = std::get<Command>(*item);
    const auto slot = next_slot_++;
    slots_.push_back({slot, {}, 0, false, false, {}, Lease(limits_.bytes)});
    if (command.kind == Command::Kind::kNoop) {
      answer(slot, "MN\r\n");
      continue;
    }
    auto held = std::make_shared<HeldCommand>(
        HeldCommand{std::move(command), std::exchange(body_, Lease(limits_.bytes))});
    held->body.resize(held->command.body.size());
    const auto reason = handler_.submit(shared_from_this(), slot,
                                        std::shared_ptr<const Command>(held, &held->command));
    if (!reason.empty()) answer(slot, "CLIENT_ERROR " + std::string(reason) + "\r\n");
  }
  arm_read();
}

bool ClientSession::may_begin() const {
  if (slots_.empty()) return true;
  return slots_.size() < kMostPipelined && unwritten_ < kMostUnread && !limits_.bytes_short();
}

// A long body is read only once the memory for all of it is set aside: many half-read ones would
// otherwise fill it, and none could go on.
bool ClientSession::reserve_body() {
  const auto length = reader_.body_length();
  if (length <= kWholeValue || body_.size() > 0) return true;
  if (!limits_.bytes.room_for(length)) return false;
  body_.resize(length);
  since_ = handler_.now();
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

void ClientSession::reply_error(const ClientError& error) {
  if (error.fatal) no_more_ = true;
  const auto slot = next_slot_++;
  slots_.push_back({slot, {}, 0, false, false, {}, Lease(limits_.bytes)});
  answer(slot, "CLIENT_ERROR " + std::string(error.reason) + "\r\n");
}

// ---- writing

ClientSession::Slot* ClientSession::find(std::uint64_t slot) {
  if (closed_ || slots_.empty() || slot < slots_.front().number) return nullptr;
  return &slots_[slot - slots_.front().number];
}

void ClientSession::answer(std::uint64_t slot, std::string text) {
  Slot* s = find(slot);
  if (!s || s->complete) return;
  s->out = std::move(text);
  s->bytes.resize(s->out.size());
  s->complete = true;
  unwritten_ += s->out.size();
  flush();
}

void ClientSession::begin_relay(std::uint64_t slot, std::string head,
                                std::function<void()> on_room) {
  Slot* s = find(slot);
  if (!s) return;
  s->on_room = std::move(on_room);
  relay(slot, head);
}

bool ClientSession::relay(std::uint64_t slot, std::string_view data) {
  Slot* s = find(slot);
  if (!s) return true;
  s->out += data;
  s->bytes.resize(s->out.size());
  unwritten_ += data.size();
  flush();
  s = find(slot);
  return !s || s->out.size() - s->written < kRelayWindow;
}

void ClientSession::end_relay(std::uint64_t slot, bool whole) {
  Slot* s = find(slot);
  if (!s) return;
  s->on_room = nullptr;
  s->complete = true;
  s->broken = !whole;
  flush();
}

void ClientSession::flush() {
  if (writing_ || closed_) return;
  while (!slots_.empty()) {
    Slot& s = slots_.front();
    while (s.written < s.out.size()) {
      error_code error;
      const auto n = socket_.write_some(
          asio::buffer(s.out.data() + s.written, s.out.size() - s.written), error);
      s.written += n;
      unwritten_ -= n;
      if (n > 0) wrote_ = handler_.now();
      if (error == asio::error::would_block || error == asio::error::try_again) {
        if (s.on_room && s.out.size() - s.written < kRelayWindow / 2) s.on_room();
        return arm_write();
      }
      if (error && error != asio::error::interrupted) return close_soon();
    }
    s.out.clear();
    s.written = 0;
    s.bytes.resize(0);
    if (s.on_room) s.on_room();
    // A value that its host broke off must not look whole, nor be followed by another answer.
    if (s.broken) return close_soon();
    if (!s.complete) return;
    slots_.pop_front();
    served_ = true;
    since_ = handler_.now();
    if (blocked_) pump_soon();
  }
  on_all_written();
}

void ClientSession::arm_write() {
  writing_ = true;
  if (unwritten_ > 0 && wrote_ == Time{0}) wrote_ = handler_.now();
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& e) {
                       self->writing_ = false;
                       if (e || self->closed_) return;
                       // The part that was taken is dropped, so that a relay's buffer stays small.
                       if (!self->slots_.empty()) {
                         Slot& s = self->slots_.front();
                         s.out.erase(0, std::exchange(s.written, 0));
                         s.bytes.resize(s.out.size());
                       }
                       self->flush();
                     });
}

void ClientSession::on_all_written() {
  if (lingering_) return;
  if (no_more_) return linger();
  if (draining_ && !blocked_ && reader_.between_commands() && !has_input()) close_soon();
}

// Closing with input unread would reset the connection, and the client might lose the last answer.
void ClientSession::linger() {
  lingering_ = true;
  since_ = handler_.now();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  arm_read();
}

// ---- ends

ClientSession::Rest ClientSession::rest() const {
  if (lingering_) return Rest::kSilent;
  if (!slots_.empty() || blocked_ || pump_posted_) return Rest::kBusy;
  if (!reader_.between_commands()) return Rest::kPartial;
  return served_ ? Rest::kServed : Rest::kSilent;
}

bool ClientSession::has_input() {
  error_code error;
  return !closed_ && socket_.available(error) > 0 && !error;
}

void ClientSession::drain() {
  draining_ = true;
  if (!closed_ && slots_.empty()) on_all_written();
}

void ClientSession::tick(Time now) {
  if (closed_) return;
  if (lingering_) {
    if (now - since_ > kLinger) close();
    return;
  }
  if (blocked_) pump();  // memory may have come free
  if (closed_) return;
  if (!slots_.empty() && unwritten_ > 0 && writing_ && now - wrote_ > kReadAnswer) return close();
  if (rest() == Rest::kPartial && now - since_ > kWriteCommand) return close();
  if (draining_ && slots_.empty()) on_all_written();
}

void ClientSession::close_soon() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

void ClientSession::close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  descriptor_ = Lease();
  unwritten_ = 0;
  const auto self = shared_from_this();
  for (Slot& s : slots_) {
    s.on_room = nullptr;
    if (!s.complete) handler_.withdraw(*this, s.number);
  }
  slots_.clear();
  handler_.on_session_closed(self);
}

}  // namespace silverpin::node

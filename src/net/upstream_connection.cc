#include "net/upstream_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadSize = 64u << 10;      // bytes read in one call
constexpr std::size_t kShortReadSize = 4u << 10;  // the same where memory is short
constexpr std::size_t kWriteSize = 64u << 10;     // bytes gathered for one write call
// Pieces of at least this size, in bytes, are written without a copy.
constexpr std::size_t kLargePiece = 16u << 10;
// An answer that has begun and then makes no progress for this time has stalled: its stated length
// may be wrong, or its host may write it slowly.
constexpr Duration kAnswerStallTime = std::chrono::milliseconds(250);
// A long value that its client has begun to receive is given up after this time without progress,
// though not in the time that the client has.
constexpr Duration kStreamIdleTimeout = std::chrono::milliseconds(3000);

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, Limits& limits, AttemptEvents& events,
                                       UpstreamOwner& owner)
    : socket_(io),
      connect_timer_(io),
      limits_(limits),
      events_(events),
      owner_(owner),
      descriptor_(limits.upstreams, 1),
      bytes_(limits.bytes, 0, MemoryHolder::kAnswers) {}

void UpstreamConnection::connect(const Endpoint& endpoint, Duration timeout) {
  error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (error) return fail(Event::kServerNotConnected);
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self = shared_from_this()](const error_code& e) {
    if (!e && self->is_connecting()) self->fail(Event::kServerNotConnected);
  });
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const error_code& e) { self->on_connect(e); });
}

void UpstreamConnection::on_connect(const error_code& error) {
  if (closed_) return;
  if (error) return fail(Event::kServerNotConnected);
  connect_timer_.cancel();
  connected_ = true;
  last_read_ = events_.now();
  owner_.on_connected(*this);
  in_handler_ = true;
  flush();
  close_or_read();
  deliver();
}

void UpstreamConnection::enqueue(AttemptPtr attempt) {
  attempt->connection = weak_from_this();
  attempt->assigned = true;
  queue_.push_back({std::move(attempt), {}, {}, {}});
}

bool UpstreamConnection::is_alive() {
  char byte;
  const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// ---- writing

// Returns the outcome of a request that must not be written any further, or nullopt if it may be. A
// partly written request is completed even if its host is to get no new requests.
std::optional<Result> UpstreamConnection::result_if_denied(const Outgoing& out) const {
  if (out.attempt->ended) return unsent_result(SendPermission::kRequestFinished);
  const SendPermission permission = events_.may_send(*out.attempt);
  if (permission == SendPermission::kGranted) return std::nullopt;
  if (permission == SendPermission::kHostChanged && out.written > 0) return std::nullopt;
  return unsent_result(permission);
}

// Encodes the request at this place if it may be written. Otherwise withdraws it and returns false.
bool UpstreamConnection::prepare_to_write(std::size_t place) {
  Outgoing& out = queue_[place];
  if (const auto result = result_if_denied(out)) {
    withdraw(place, *result);
    return false;
  }
  if (out.encoded) return true;
  out.attempt->write_begun = true;
  events_.on_write_begun(*out.attempt);
  encode(out);
  out.encoded = true;
  if (place == 0) last_read_ = events_.now();
  return true;
}

void UpstreamConnection::withdraw(std::size_t place, Result result) {
  if (queue_[place].encoded) return withdraw_partly_written(place, result);
  remove(place, result);
}

void UpstreamConnection::remove(std::size_t place, Result result) {
  Outgoing removed = std::move(queue_[place]);
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(place));
  owner_.on_withdrawn(*this, place);
  end(removed, result);
}

// Withdraws a partly written request. Nothing more can be written on the connection after a partial
// request: it is retired, the requests queued after this one are withdrawn so that they can be sent
// elsewhere, and those in flight before it still get their answers. A host never executes a request
// that it has received only in part.
void UpstreamConnection::withdraw_partly_written(std::size_t place, Result result) {
  retired_ = true;
  owner_.on_retired(*this);
  remove(place, result);
  while (queue_.size() > place) remove(place, Result::kWithdrawn);
  if (queue_.empty()) fail(Event::kServerRetired);
}

void UpstreamConnection::withdraw_unsendable() {
  for (std::size_t place = first_unsent_; !closed_ && place < queue_.size();) {
    const auto result = result_if_denied(queue_[place]);
    if (result) {
      withdraw(place, *result);
    } else {
      ++place;
    }
  }
}

void UpstreamConnection::retire() {
  if (closed_ || std::exchange(retired_, true)) return;
  owner_.on_retired(*this);
  for (std::size_t place = first_unsent_; place < queue_.size();) {
    if (queue_[place].written > 0) {
      ++place;
    } else {
      withdraw(place, Result::kWithdrawn);
    }
  }
  if (queue_.empty()) fail(Event::kServerRetired);
}

// Returns the next bytes to write: small pieces copied into one buffer, as a system call for each
// would cost more, or one large piece without a copy. Empty if there is nothing to write or the
// connection has closed.
std::string_view UpstreamConnection::gather() {
  static std::array<char, kWriteSize> buffer;  // one thread writes one connection at a time
  std::size_t filled = 0;
  for (std::size_t place = first_unsent_; place < queue_.size() && filled < buffer.size();) {
    if (!prepare_to_write(place)) {
      if (closed_) return {};
      continue;
    }
    const Outgoing& out = queue_[place];
    std::size_t skip = out.written;
    for (const std::string_view part : {std::string_view(out.head), out.body, out.tail}) {
      const auto rest = part.substr(std::min(skip, part.size()));
      skip -= part.size() - rest.size();
      if (rest.empty()) continue;
      if (rest.size() >= kLargePiece)
        return filled == 0 ? rest : std::string_view(buffer.data(), filled);
      const auto n = std::min(rest.size(), buffer.size() - filled);
      std::copy_n(rest.data(), n, buffer.data() + filled);
      filled += n;
      if (n < rest.size()) return {buffer.data(), filled};
    }
    ++place;
  }
  return {buffer.data(), filled};
}

void UpstreamConnection::on_written(std::size_t bytes) {
  while (bytes > 0) {
    Outgoing& out = queue_[first_unsent_];
    const auto n = std::min(bytes, out.size() - out.written);
    out.written += n;
    bytes -= n;
    if (!out.is_sent()) break;
    ++first_unsent_;
  }
}

// Returns whether requests may be written. The greeting fits into the empty buffer of a new
// connection.
bool UpstreamConnection::write_greeting() {
  if (is_greeted()) return true;
  if (queue_.empty()) return false;
  const std::string bytes = greeting();
  if (bytes.empty()) return is_greeted();
  error_code error;
  const auto written = socket_.write_some(asio::buffer(bytes), error);
  if (error || written < bytes.size()) {
    fail(Event::kServerNotConnected);
    return false;
  }
  return false;
}

// Writes with direct calls instead of asynchronous operations. Whether the last byte of a request
// was written decides whether it may have been executed, and must be known when the connection
// breaks.
void UpstreamConnection::flush() {
  if (!connected_ || closed_ || !write_greeting()) return;
  while (true) {
    const std::string_view bytes = gather();
    if (closed_) return;
    if (bytes.empty()) break;
    error_code error;
    const auto written = socket_.write_some(
        asio::const_buffers_1(asio::const_buffer(bytes.data(), bytes.size())), error);
    on_written(written);
    if (error == asio::error::would_block || error == asio::error::try_again) return arm_write();
    if (error && error != asio::error::interrupted) return fail(Event::kServerReset);
  }
  if (first_unsent_ > 0) arm_read();
}

void UpstreamConnection::arm_write() {
  arm_read();
  if (write_pending_) return;
  write_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& e) {
                       self->write_pending_ = false;
                       if (e || self->closed_) return;
                       self->in_handler_ = true;
                       self->flush();
                       self->close_or_read();
                       self->deliver();
                     });
}

// ---- reading

void UpstreamConnection::arm_read() {
  if (read_pending_ || closed_ || !connected_ || !may_read()) return;
  read_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& e) {
                       self->read_pending_ = false;
                       if (e || self->closed_) return;
                       self->in_handler_ = true;
                       self->on_readable();
                       self->deliver();
                     });
}

// Returns how many bytes may be read now. Where memory is short, what is accounted for already may
// be filled, and a connection that holds little can read short answers, so that requests end and
// release memory.
std::size_t UpstreamConnection::read_size() const {
  const bool is_short = limits_.is_memory_short();
  const std::size_t size = is_short ? kShortReadSize : kReadSize;
  if (stream_) return std::min(size, stream_->room());
  if (!is_short) return size;
  const std::size_t room = bytes_.size() - std::min(bytes_.size(), held_bytes_);
  if (room > 0) return std::min(kReadSize, room);
  if (held_bytes_ < kShortReadSize) return size;
  // The text grows to what is expected, or to twice its size.
  const std::size_t growth = std::max(expected_bytes_, 2 * held_bytes_) - held_bytes_;
  return limits_.has_memory(MemoryUse::kAnswer, growth) ? size : 0;
}

void UpstreamConnection::hold_answer(std::string& text, std::size_t expected) {
  held_bytes_ = text.size();
  expected_bytes_ = std::max(expected, held_bytes_);
  const bool grows = expected_bytes_ > text.capacity();
  if (grows && limits_.has_memory(MemoryUse::kAnswer, expected_bytes_ - text.capacity()))
    text.reserve(expected_bytes_);
  bytes_.resize(std::max(text.capacity(), held_bytes_));
}

void UpstreamConnection::release_answer() {
  bytes_.resize(0);
  held_bytes_ = expected_bytes_ = 0;
}

bool UpstreamConnection::may_read() const {
  return !memory_full_ && (!stream_ || stream_->room() > 0);
}

void UpstreamConnection::on_readable() {
  static std::array<char, kReadSize> buffer;  // one thread reads one connection at a time
  if (!may_read()) return;                    // the stream's window has filled up meanwhile
  const std::size_t max_bytes = read_size();
  memory_full_ = max_bytes == 0;  // resumed by a tick once memory is available
  if (memory_full_) return;
  error_code error;
  const auto n = socket_.read_some(asio::buffer(buffer.data(), max_bytes), error);
  if (error == asio::error::would_block || error == asio::error::try_again ||
      error == asio::error::interrupted)
    return arm_read();
  if (error == asio::error::eof && is_awaiting_answer()) on_end_of_input();
  if (error) return fail(Event::kServerReset);
  last_read_ = events_.now();
  if (handle_input(std::string_view(buffer.data(), n))) close_or_read();
}

// Returns false if the connection has failed.
bool UpstreamConnection::handle_input(std::string_view bytes) {
  const bool was_greeted = is_greeted();
  // Malformed bytes are an error of the host, unlike a reset, which suggests that it is down.
  if (queue_.empty() || !on_bytes(bytes))
    return fail(Event::kServerUnreadable, Result::kError), false;
  if (!was_greeted && is_greeted()) flush();
  if (closed_) return false;
  // Bytes after the last answer belong to no request, and the next answer would be parsed as their
  // continuation. If they arrive in a later packet, is_alive() detects them before the next
  // attempt.
  if (queue_.empty() && !between_answers()) return fail(Event::kServerUnreadable), false;
  is_stall_reported_ = false;
  partial_since_ = between_answers() ? std::optional<Time>() : partial_since_.value_or(last_read_);
  if (stream_ && stream_->abandoned()) return fail(Event::kServerAbandoned), false;
  return true;
}

void UpstreamConnection::close_or_read() {
  if (closed_) return;
  if (!queue_.empty()) return arm_read();
  if (!reusable_ || retired_) return fail(Event::kServerRetired);
  arm_read();
}

void UpstreamConnection::begin_value(std::size_t length) {
  if (current()->ended) return;
  if (length <= kMaxCollectedValue) {
    hold_answer(value_, length);
    return;
  }
  stream_ = std::make_shared<ValueStream>(length, limits_);
  stream_->on_room = [self = weak_from_this()] {
    if (const auto c = self.lock()) c->on_stream_room();
  };
  pending_events_.push_back({current(), Result::kOk, {}, stream_});
}

// May be called from inside push(), or by the client's connection at any time.
void UpstreamConnection::on_stream_room() {
  if (closed_ || read_pending_) return;
  last_read_ = events_.now();  // the pause was caused by the client, not by the host
  if (stream_ && stream_->abandoned()) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), stream = stream_] {
      if (self->stream_ == stream) self->fail(Event::kServerAbandoned);
    });
    return;
  }
  arm_read();
}

bool UpstreamConnection::append_value(std::string_view piece, std::optional<std::size_t> length) {
  if (stream_) return stream_->push(piece), true;
  if (current()->ended) return true;  // the answer is not wanted; discard it
  const std::size_t max_length = length ? kMaxCollectedValue : limits_.plan.max_unsized_answer;
  if (value_.size() + piece.size() > max_length) return false;
  value_ += piece;
  hold_answer(value_, length.value_or(0));
  return true;
}

bool UpstreamConnection::complete_answer(Result result, std::string receipt) {
  Outgoing out = std::move(queue_.front());
  queue_.pop_front();
  if (first_unsent_ > 0) --first_unsent_;
  std::string value = std::exchange(value_, {});
  release_answer();
  if (const auto stream = std::exchange(stream_, nullptr)) stream->finish();
  if (!out.is_sent()) {
    // The answer arrived before the request was completely written: only a rejection is valid then.
    reusable_ = false;
    if (result != Result::kRejected) result = Result::kReset;
  }
  end(out, result, receipt.empty() ? std::move(value) : std::move(receipt));
  owner_.on_answered(*this, last_read_, reusable_ && !retired_);
  return reusable_;
}

void UpstreamConnection::tick() {
  withdraw_unsendable();
  if (closed_) return;
  if (memory_full_ && read_size() > 0) {
    memory_full_ = false;
    last_read_ = events_.now();  // the pause was caused by this process, not by the host
    arm_read();
  }
  check_progress();
}

// An answer that is still wanted is not cut off before its attempt's deadline: a host that writes
// it slowly may be sound, and where it is not, the policy may send the request elsewhere beside it.
void UpstreamConnection::check_progress() {
  if (!partial_since_ || queue_.empty() || !may_read()) return;
  const Duration idle = now() - last_read_;
  if (stream_) {
    if (idle > kStreamIdleTimeout && now() >= current()->deadline)
      fail(Event::kServerAnswerStalled, Result::kError);
    return;
  }
  if (idle <= kAnswerStallTime) return;
  if (current()->ended || !events_.is_answer_wanted(*current()))
    return fail(Event::kServerAnswerStalled, Result::kError);
  if (std::exchange(is_stall_reported_, true)) return;
  events_.on_answer_stalled(current());
}

// ---- ending

// Records the outcome of an attempt. Outcomes are reported from the event loop only, as this may
// run inside a call of the policy; those of one turn are reported together.
void UpstreamConnection::end(Outgoing& out, Result result, std::string value) {
  if (out.attempt->ended) return;
  pending_events_.push_back({std::move(out.attempt), result, std::move(value), nullptr});
  if (in_handler_ || deliver_posted_) return;
  deliver_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->deliver_posted_ = false;
    self->deliver();
  });
}

void UpstreamConnection::deliver() {
  in_handler_ = false;
  const auto self = shared_from_this();
  std::vector<PendingEvent> ended;
  while (!pending_events_.empty()) {
    ended.swap(pending_events_);
    for (PendingEvent& e : ended) {
      if (e.stream) {
        events_.on_stream_started(e.attempt, e.stream);
      } else {
        events_.on_attempt_ended(e.attempt, e.result, std::move(e.value));
      }
    }
    ended.clear();
  }
}

bool UpstreamConnection::abandon(const AttemptPtr& attempt) {
  if (closed_) return false;
  const bool is_unsent =
      std::any_of(queue_.begin() + static_cast<std::ptrdiff_t>(first_unsent_), queue_.end(),
                  [&attempt](const Outgoing& out) { return out.attempt == attempt; });
  withdraw_unsendable();
  // An empty connection that is still connecting is kept for the next attempt.
  if (!queue_.empty() && std::all_of(queue_.begin(), queue_.end(),
                                     [](const Outgoing& out) { return out.attempt->ended; }))
    fail(Event::kServerAbandoned);
  return is_unsent;
}

void UpstreamConnection::close() {
  if (!closed_ && queue_.empty()) fail(Event::kServerRetired);
}

void UpstreamConnection::fail(Event reason, Result sent_result) {
  if (closed_) return;
  limits_.events.add(reason);
  const auto self = shared_from_this();  // the owner drops its reference in on_closed()
  closed_ = true;
  error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
  descriptor_ = Reservation();
  release_answer();
  if (const auto stream = std::exchange(stream_, nullptr)) stream->finish();
  for (Outgoing& out : queue_) end(out, out.is_sent() ? sent_result : Result::kConnectFailed);
  queue_.clear();
  first_unsent_ = 0;
  owner_.on_closed(*this);
}

}  // namespace balancer

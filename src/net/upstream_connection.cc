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

constexpr std::size_t kReadSize = 64u << 10;
constexpr std::size_t kWriteSize = 64u << 10;  // gathered for one call
constexpr std::size_t kLargePiece = 16u << 10;
constexpr Duration kStalledAnswer = std::chrono::milliseconds(250);
// A long value may come in pieces, as its host can; one that stands still for so long has ended. So
// has the answer to what must not run twice.
constexpr Duration kStalledStream = std::chrono::milliseconds(3000);

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, Limits& limits, AttemptEvents& events,
                                       UpstreamOwner& owner)
    : socket_(io),
      connect_timer_(io),
      limits_(limits),
      events_(events),
      owner_(owner),
      descriptor_(limits.upstreams, 1),
      bytes_(limits.bytes) {}

void UpstreamConnection::connect(const Endpoint& endpoint, Duration timeout) {
  error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (error) return fail();
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self = shared_from_this()](const error_code& e) {
    if (!e && self->connecting()) self->fail();
  });
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const error_code& e) { self->on_connect(e); });
}

void UpstreamConnection::on_connect(const error_code& error) {
  if (closed_) return;
  if (error) return fail();
  connect_timer_.cancel();
  up_ = true;
  last_read_ = events_.now();
  owner_.on_up(*this);
  from_loop_ = true;
  flush();
  settle();
  deliver();
}

void UpstreamConnection::enqueue(AttemptPtr attempt) {
  attempt->connection = weak_from_this();
  attempt->assigned = true;
  queue_.push_back({std::move(attempt), {}, {}, {}});
}

bool UpstreamConnection::alive() {
  char byte;
  const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// ---- writing

// Whether a request's next byte may go out: not once nobody waits for it, though it may have been
// half written, and not the first one to a host that is to get nothing new. Else what becomes of
// it.
std::optional<Result> UpstreamConnection::held_back(const Outgoing& out) const {
  const SendPermission may_send =
      out.attempt->ended ? SendPermission::kOver : events_.may_send(*out.attempt);
  if (may_send == SendPermission::kGo ||
      (may_send == SendPermission::kElsewhere && out.written > 0))
    return {};
  return may_send == SendPermission::kOver ? Result::kNotSent : Result::kWithdrawn;
}

// Makes the request at this place ready to be written. False: it was taken back.
bool UpstreamConnection::may_write(std::size_t place) {
  Outgoing& out = queue_[place];
  if (const auto result = held_back(out)) {
    remove(place, *result);
    return false;
  }
  if (out.begun) return true;
  encode(out);
  out.begun = true;
  if (place == 0) last_read_ = events_.now();
  return true;
}

void UpstreamConnection::remove(std::size_t place, Result result) {
  if (queue_[place].begun) return cut(place, result);
  drop(place, result);
}

void UpstreamConnection::drop(std::size_t place, Result result) {
  Outgoing dropped = std::move(queue_[place]);
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(place));
  owner_.on_taken_back(*this, place);
  end(dropped, result);
}

// A request that has begun on its way cannot be called back from the middle of others: the
// connection gets no byte more, what stands behind goes elsewhere, and what is out in front keeps
// its answers. A host that holds a part of a request never runs it.
void UpstreamConnection::cut(std::size_t place, Result result) {
  retired_ = true;
  owner_.on_retired(*this);
  drop(place, result);
  while (queue_.size() > place) drop(place, Result::kWithdrawn);
  if (queue_.empty()) fail();
}

void UpstreamConnection::review() {
  for (std::size_t i = unsent_; !closed_ && i < queue_.size();) {
    const auto result = held_back(queue_[i]);
    if (result) {
      remove(i, *result);
    } else {
      ++i;
    }
  }
}

void UpstreamConnection::retire() {
  if (closed_ || std::exchange(retired_, true)) return;
  owner_.on_retired(*this);
  for (std::size_t i = unsent_; i < queue_.size();) {
    if (queue_[i].written > 0) {
      ++i;
    } else {
      remove(i, Result::kWithdrawn);
    }
  }
  if (queue_.empty()) fail();
}

// Writes directly, not through a queued operation: whether the last byte of a request went out
// decides whether it may have run, and must be known at the moment that the connection breaks.
// Small pieces are copied together, as a call for each would cost more; large ones go out from
// where they are.
void UpstreamConnection::flush() {
  static std::array<char, kWriteSize> scratch;  // one thread writes one connection at a time
  if (!up_ || closed_) return;
  while (true) {
    std::size_t filled = 0;
    std::string_view large;
    for (std::size_t i = unsent_; i < queue_.size() && filled < scratch.size();) {
      if (!may_write(i)) {
        if (closed_) return;
        continue;
      }
      Outgoing& out = queue_[i];
      std::size_t skip = out.written;
      bool whole = true;
      for (const std::string_view part : {std::string_view(out.head), out.body, out.tail}) {
        const auto rest = part.substr(std::min(skip, part.size()));
        skip -= part.size() - rest.size();
        if (rest.empty()) continue;
        if (rest.size() >= kLargePiece) {
          whole = false;
          if (filled == 0) large = rest;
          break;
        }
        const auto n = std::min(rest.size(), scratch.size() - filled);
        std::copy_n(rest.data(), n, scratch.data() + filled);
        filled += n;
        if (n < rest.size()) {
          whole = false;
          break;
        }
      }
      if (!whole) break;
      ++i;
    }
    if (filled == 0 && large.empty()) break;
    error_code error;
    const asio::const_buffer buffer(filled > 0 ? scratch.data() : large.data(),
                                    filled > 0 ? filled : large.size());
    auto written = socket_.write_some(asio::const_buffers_1(buffer), error);
    while (written > 0) {
      Outgoing& out = queue_[unsent_];
      const auto n = std::min(written, out.size() - out.written);
      out.written += n;
      written -= n;
      if (!out.sent()) break;
      ++unsent_;
    }
    if (error == asio::error::would_block || error == asio::error::try_again) return arm_write();
    if (error && error != asio::error::interrupted) return fail();
  }
  if (unsent_ > 0) arm_read();
}

void UpstreamConnection::arm_write() {
  arm_read();
  if (writing_) return;
  writing_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& e) {
                       self->writing_ = false;
                       if (e || self->closed_) return;
                       self->from_loop_ = true;
                       self->flush();
                       self->settle();
                       self->deliver();
                     });
}

// ---- reading

void UpstreamConnection::arm_read() {
  if (reading_ || closed_ || !up_ || !may_read()) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& e) {
                       self->reading_ = false;
                       if (e || self->closed_) return;
                       self->from_loop_ = true;
                       self->on_readable();
                       self->deliver();
                     });
}

bool UpstreamConnection::may_read() const {
  return !memory_full_ && (!stream_ || stream_->room() > 0);
}

void UpstreamConnection::on_readable() {
  static std::array<char, kReadSize> scratch;  // one thread reads one connection at a time
  if (!may_read()) return;                     // the window filled up meanwhile
  error_code error;
  const auto most = stream_ ? std::min(kReadSize, stream_->room()) : kReadSize;
  const auto n = socket_.read_some(asio::buffer(scratch.data(), most), error);
  if (error == asio::error::would_block || error == asio::error::try_again ||
      error == asio::error::interrupted)
    return arm_read();
  if (error == asio::error::eof && expecting()) on_end_of_input();
  if (error) return fail();
  last_read_ = events_.now();
  // An answer that can't be read is an error, not a sign that the host is away, as a reset is.
  if (queue_.empty() || !on_bytes(std::string_view(scratch.data(), n))) return fail(Result::kError);
  // Bytes behind the last answer belong to nothing: the next answer would be read as their rest.
  // A peer that splits its noise over packets is caught before the next attempt, by alive().
  if (queue_.empty() && !between_answers()) return fail();
  partial_since_ = between_answers() ? std::optional<Time>() : partial_since_.value_or(last_read_);
  if (stream_ && stream_->abandoned()) return fail();  // to read the rest would be for nobody
  // Values are collected within the byte budget; what is over it waits in the kernel.
  memory_full_ = !value_.empty() && !limits_.bytes.room_for(kWholeValue);
  settle();
}

void UpstreamConnection::settle() {
  if (closed_) return;
  if (!queue_.empty()) return arm_read();
  if (!keep_open_ || retired_) return fail();
  arm_read();
}

void UpstreamConnection::begin_value(std::size_t length) {
  if (length <= kWholeValue || current()->ended) return;
  stream_ = std::make_shared<ValueStream>(length, limits_.bytes);
  stream_->on_room = [self = weak_from_this()] {
    if (const auto c = self.lock()) c->on_stream_room();
  };
  ended_.push_back({current(), Result::kOk, {}, stream_});
}

// May come from inside push(), or from the client's side at any time.
void UpstreamConnection::on_stream_room() {
  if (closed_ || reading_) return;
  last_read_ = events_.now();  // the wait was the other side's
  if (stream_ && stream_->abandoned()) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), stream = stream_] {
      if (self->stream_ == stream) self->fail();
    });
    return;
  }
  arm_read();
}

bool UpstreamConnection::take_value(std::string_view piece, std::optional<std::size_t> length) {
  if (stream_) return stream_->push(piece), true;
  if (current()->ended) return true;  // given up: read and forgotten
  if (value_.size() + piece.size() > max_value()) return false;
  if (length && value_.empty()) value_.reserve(*length);
  value_ += piece;
  bytes_.resize(value_.size());
  return true;
}

bool UpstreamConnection::complete(Result result, std::string receipt) {
  Outgoing out = std::move(queue_.front());
  queue_.pop_front();
  if (unsent_ > 0) --unsent_;
  std::string value = std::exchange(value_, {});
  bytes_.resize(0);
  if (const auto stream = std::exchange(stream_, nullptr)) stream->finish();
  if (!out.sent()) {
    // An answer that came before the request was written whole. Only a rejection makes sense.
    keep_open_ = false;
    if (result != Result::kRejected) result = Result::kReset;
  }
  end(out, result, receipt.empty() ? std::move(value) : std::move(receipt));
  owner_.on_answered(*this, last_read_, keep_open_ && !retired_);
  return keep_open_;
}

void UpstreamConnection::tick() {
  review();
  if (closed_) return;
  if (memory_full_ && limits_.bytes.room_for(kWholeValue)) {
    memory_full_ = false;
    last_read_ = events_.now();  // the wait was ours
    arm_read();
  }
  // An answer that began and stays unfinished is not whole, and whoever waits for the rest waits in
  // vain: a length that does not fit, a line without an end, a peer that died in mid-answer. Hosts
  // write an answer at one go, so this is far above what a pause in the host or the network takes.
  // Where nobody else may be asked instead, to give up early gains nothing.
  const bool patient = stream_ || (!queue_.empty() && current()->unsafe);
  if (partial_since_ && may_read() &&
      events_.now() - last_read_ > (patient ? kStalledStream : kStalledAnswer))
    fail(Result::kError);
}

// ---- ends

// Outcomes reach the module from the event loop only: this may run inside one of its sink calls.
// Those of one turn are told together.
void UpstreamConnection::end(Outgoing& out, Result result, std::string value) {
  if (out.attempt->ended) return;
  ended_.push_back({std::move(out.attempt), result, std::move(value), nullptr});
  if (from_loop_ || deliver_posted_) return;
  deliver_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->deliver_posted_ = false;
    self->deliver();
  });
}

void UpstreamConnection::deliver() {
  from_loop_ = false;
  const auto self = shared_from_this();
  std::vector<Ended> ended;
  while (!ended_.empty()) {
    ended.swap(ended_);
    for (Ended& e : ended) {
      if (e.begun) {
        events_.on_begin(e.attempt, e.begun);
      } else {
        events_.on_end(e.attempt, e.result, std::move(e.value));
      }
    }
    ended.clear();
  }
}

bool UpstreamConnection::abandon(const AttemptPtr& attempt) {
  if (closed_) return false;
  const bool taken_back =
      std::any_of(queue_.begin() + static_cast<std::ptrdiff_t>(unsent_), queue_.end(),
                  [&attempt](const Outgoing& o) { return o.attempt == attempt; });
  review();
  // With nothing out it goes on connecting, for the next attempt.
  if (!queue_.empty() &&
      std::all_of(queue_.begin(), queue_.end(), [](const Outgoing& o) { return o.attempt->ended; }))
    fail();
  return taken_back;
}

void UpstreamConnection::close() {
  if (!closed_ && queue_.empty()) fail();
}

void UpstreamConnection::fail(Result begun) {
  if (closed_) return;
  const auto self = shared_from_this();  // its owner lets go of it below
  closed_ = true;
  error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
  descriptor_ = Lease();
  bytes_.resize(0);
  if (const auto stream = std::exchange(stream_, nullptr)) stream->finish();
  for (Outgoing& out : queue_) end(out, out.sent() ? begun : Result::kConnectFailed);
  queue_.clear();
  unsent_ = 0;
  owner_.on_closed(*this);
}

}  // namespace balancer

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/limits.h"

namespace balancer {

// Streams a long value from the connection that reads it to the connection that writes it, through
// a window that is reserved from the byte budget. Reading pauses while the window is full, and
// writing while it is empty. Not thread-safe; handlers may be called from inside a member function.
class ValueStream {
 public:
  // Maximum bytes buffered, and the same where memory is short.
  static constexpr std::size_t kWindow = 128u << 10, kSmallWindow = 16u << 10;

  // `length`: length of the complete value in bytes. Reserves the window even if the limits leave
  // no room.
  ValueStream(std::size_t length, Limits& limits)
      : length_(length),
        window_(limits.has_memory(MemoryUse::kBulk, kWindow) ? kWindow : kSmallWindow),
        reservation_(limits.bytes, window_, MemoryHolder::kStreams) {}

  std::size_t length() const { return length_; }

  // ---- called by the connection that reads the value

  std::size_t room() const {
    return abandoned_ ? window_ : window_ - std::min(window_, buffered());
  }
  // Appends a piece. All pieces together may have at most length() bytes, and each at most room();
  // the first, which was read with the head of the answer, may have more.
  void push(std::string_view piece) {
    pushed_ += piece.size();
    if (abandoned_) return;
    if (at_ > 0 && buffer_.size() + piece.size() > buffer_.capacity()) {
      buffer_.erase(0, at_);
      at_ = 0;
    }
    if (buffer_.capacity() < window_) buffer_.reserve(window_);
    buffer_ += piece;
    if (on_data) on_data();
  }
  // Ends the stream; no more data will be pushed. A value that is incomplete at this point is
  // broken.
  void finish() {
    if (std::exchange(finished_, true)) return;
    on_room = nullptr;
    if (on_data) on_data();
  }
  // Called when the window has room again, or the value has been abandoned.
  std::function<void()> on_room;

  // ---- called by the connection that writes the value

  // Returns the next bytes to write; valid until the next call.
  std::string_view front() const { return std::string_view(buffer_).substr(at_); }
  // Consumes `n` bytes of front() that have been written.
  void take(std::size_t n) {
    at_ += n;
    if (at_ == buffer_.size()) {
      buffer_.clear();
      at_ = 0;
    }
    if (on_room) on_room();
  }
  bool is_complete() const { return pushed_ == length_; }
  bool is_broken() const { return finished_ && !is_complete(); }
  // Gives up the rest of the value; data pushed afterwards is dropped.
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_data = nullptr;
    buffer_ = {};
    at_ = 0;
    if (on_room) on_room();
  }
  // Called when more data has arrived, or the stream has ended.
  std::function<void()> on_data;

  bool abandoned() const { return abandoned_; }
  bool finished() const { return finished_; }

 private:
  std::size_t buffered() const { return buffer_.size() - at_; }

  const std::size_t length_;
  const std::size_t window_;
  Reservation reservation_;
  std::string buffer_;
  std::size_t at_ = 0;  // bytes of buffer_ already consumed
  std::size_t pushed_ = 0;
  bool finished_ = false;
  bool abandoned_ = false;
};
using StreamPtr = std::shared_ptr<ValueStream>;

}  // namespace balancer

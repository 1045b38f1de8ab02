#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/limits.h"

namespace balancer {

// A long value that passes from a connection that reads it to one that writes it, through a window
// that is reserved from the byte budget. With the window full nothing more is read; with it empty
// there is nothing to write. One thread; handlers may be called from inside a call.
class ValueStream {
 public:
  // Bytes buffered at most.
  static constexpr std::size_t kWindow = 128u << 10;

  // `length`: of the complete value, in bytes. Reserves the window whether or not the budget has
  // room.
  ValueStream(std::size_t length, Budget& budget)
      : length_(length), reservation_(budget, kWindow) {}

  std::size_t length() const { return length_; }

  // ---- the reading side

  std::size_t room() const { return abandoned_ ? kWindow : kWindow - buffered(); }
  // At most room() bytes and, with what came before, length().
  void push(std::string_view piece) {
    pushed_ += piece.size();
    if (abandoned_) return;
    if (at_ > 0 && buffer_.size() + piece.size() > buffer_.capacity()) {
      buffer_.erase(0, at_);
      at_ = 0;
    }
    if (buffer_.capacity() < kWindow) buffer_.reserve(kWindow);
    buffer_ += piece;
    if (on_data) on_data();
  }
  // Nothing more comes; a value that is not complete by now is broken.
  void finish() {
    if (std::exchange(finished_, true)) return;
    on_room = nullptr;
    if (on_data) on_data();
  }
  // Called when there is room again, or the value has been abandoned.
  std::function<void()> on_room;

  // ---- the writing side

  // The next bytes; valid until the next call.
  std::string_view front() const { return std::string_view(buffer_).substr(at_); }
  // `n` bytes of front() have been written.
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
  // The rest is not wanted; what comes is dropped.
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_data = nullptr;
    buffer_ = {};
    at_ = 0;
    if (on_room) on_room();
  }
  // Called when more has come, or the end.
  std::function<void()> on_data;

  bool abandoned() const { return abandoned_; }
  bool finished() const { return finished_; }

 private:
  std::size_t buffered() const { return buffer_.size() - at_; }

  const std::size_t length_;
  Reservation reservation_;
  std::string buffer_;
  std::size_t at_ = 0;  // bytes of buffer_ that were taken
  std::size_t pushed_ = 0;
  bool finished_ = false;
  bool abandoned_ = false;
};
using StreamPtr = std::shared_ptr<ValueStream>;

}  // namespace balancer

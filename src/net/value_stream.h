#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/limits.h"

namespace balancer {

// A long value on its way from one reader to one writer, through a window that the byte budget has
// lent. The pace is that of the slower side: with the window full nothing more is read, and with it
// empty there is nothing to write. One thread; handlers may be called from inside a call.
class ValueStream {
 public:
  // Bytes held at most.
  static constexpr std::size_t kWindow = 128u << 10;
  // The longest value that is passed on.
  static constexpr std::size_t kLongest = 4u << 20;

  // `length`: of the whole value. Takes the window from the budget whether or not there is room;
  // who makes one has asked.
  ValueStream(std::size_t length, Budget& budget)
      : length_(length), reservation_(budget, kWindow) {}

  std::size_t length() const { return length_; }

  // ---- the side that reads the value

  std::size_t room() const { return abandoned_ ? kWindow : kWindow - buffered(); }
  // No more than room() and, with what came before, length().
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
  // Nothing more comes. What is not whole by now never will be.
  void finish() {
    if (std::exchange(finished_, true)) return;
    on_room = nullptr;
    if (on_data) on_data();
  }
  // There is room again, or the value is not wanted any more.
  std::function<void()> on_room;

  // ---- the side that writes it

  std::string_view front() const { return std::string_view(buffer_).substr(at_); }
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
  // Nobody wants the rest.
  void abandon() {
    if (std::exchange(abandoned_, true)) return;
    on_data = nullptr;
    buffer_ = {};
    at_ = 0;
    if (on_room) on_room();
  }
  // More has come, or the end.
  std::function<void()> on_data;

  bool abandoned() const { return abandoned_; }
  bool finished() const { return finished_; }

 private:
  std::size_t buffered() const { return buffer_.size() - at_; }

  const std::size_t length_;
  Reservation reservation_;
  std::string buffer_;
  std::size_t at_ = 0;  // taken up to here
  std::size_t pushed_ = 0;
  bool finished_ = false, abandoned_ = false;
};
using StreamPtr = std::shared_ptr<ValueStream>;

}  // namespace balancer

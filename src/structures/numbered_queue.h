#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace balancer {

// Stores values under consecutive numbers that start at 1. Each value can be taken once, in any
// order. A slot is kept until all slots before it are empty, so the memory is proportional to the
// span from the oldest stored value to the newest one.
template <typename T>
class NumberedQueue {
 public:
  std::uint64_t push(T value) {
    slots_.push_back(std::move(value));
    return first_ + slots_.size() - 1;
  }
  // Removes and returns a value; nullopt if the number was never assigned or its value was already
  // taken.
  std::optional<T> take(std::uint64_t number) {
    if (number < first_ || number - first_ >= slots_.size()) return std::nullopt;
    std::optional<T> value = std::exchange(slots_[number - first_], std::nullopt);
    for (; !slots_.empty() && !slots_.front(); ++first_) slots_.pop_front();
    return value;
  }
  std::size_t span() const { return slots_.size(); }

 private:
  std::deque<std::optional<T>> slots_;
  std::uint64_t first_ = 1;
};

}  // namespace balancer

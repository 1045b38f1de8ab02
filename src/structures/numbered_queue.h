#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace balancer {

// Values named by numbers that follow one another from 1, each taken at most once, in any order. A
// place is kept until all before it are gone: the memory is that of the span from the oldest value
// still here to the newest.
template <typename T>
class NumberedQueue {
 public:
  std::uint64_t push(T value) {
    places_.push_back(std::move(value));
    return first_ + places_.size() - 1;
  }
  // Nothing for a number that was never given, or whose value was taken.
  std::optional<T> take(std::uint64_t number) {
    if (number < first_ || number - first_ >= places_.size()) return std::nullopt;
    std::optional<T> value = std::exchange(places_[number - first_], std::nullopt);
    for (; !places_.empty() && !places_.front(); ++first_) places_.pop_front();
    return value;
  }
  std::size_t span() const { return places_.size(); }

 private:
  std::deque<std::optional<T>> places_;
  std::uint64_t first_ = 1;
};

}  // namespace balancer

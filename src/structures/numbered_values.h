#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

namespace balancer {

// Stores values under consecutive numbers that start at 1. Each value can be taken once, in any
// order. The memory is proportional to the number of stored values, however old the oldest of them
// is.
template <typename T>
class NumberedValues {
 public:
  std::uint64_t push(T value) {
    values_.emplace(++last_, std::move(value));
    return last_;
  }
  // Removes and returns a value; nullopt if the number was never assigned or its value was already
  // taken.
  std::optional<T> take(std::uint64_t number) {
    auto taken = values_.extract(number);
    if (!taken) return std::nullopt;
    return std::move(taken.mapped());
  }
  std::size_t size() const { return values_.size(); }

 private:
  std::unordered_map<std::uint64_t, T> values_;
  std::uint64_t last_ = 0;
};

}  // namespace balancer

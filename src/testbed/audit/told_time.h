#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// The time that a balancer tells a server with an attempt (the value of `d`, in milliseconds).
/// None if there is no such value, or it is no whole number.
inline std::optional<Duration> told_time(std::string_view milliseconds) {
  std::int64_t value = 0;
  const char* const end = milliseconds.data() + milliseconds.size();
  const auto [stop, error] = std::from_chars(milliseconds.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return std::chrono::milliseconds(value);
}

/// Holds what further attempts (a fetch behind a miss counts as one) tell their servers against
/// what the client has left when they arrive. First attempts tell what the client wrote, and prove
/// little.
class ToldTime {
 public:
  /// Beyond the client's time by more than this an attempt is over-told.
  static constexpr Duration kSlack = std::chrono::milliseconds(150);
  /// One of so many further attempts may be over-told.
  static constexpr std::uint64_t kOneOf = 5;

  /// True if the attempt is over-told.
  bool on_further_attempt(Duration left, std::optional<Duration> told) {
    ++check_.cases;
    const bool over = told && *told > left + kSlack;
    check_.broken += over;
    return over;
  }
  void set_example(const std::string& text) {
    if (check_.example.empty()) check_.example = text;
  }

  Check check() const {
    Check result = check_;
    result.allowed = check_.cases / kOneOf;
    return result;
  }

 private:
  Check check_{"further attempts told more time than is left", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

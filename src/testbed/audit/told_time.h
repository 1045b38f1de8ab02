#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// Parses the remaining time that a balancer states to a server with an attempt (the value of `d`,
/// in milliseconds). Returns nothing if the text is not a whole number.
inline std::optional<Duration> told_time(std::string_view milliseconds) {
  std::int64_t value = 0;
  const char* const end = milliseconds.data() + milliseconds.size();
  const auto [stop, error] = std::from_chars(milliseconds.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return std::chrono::milliseconds(value);
}

/// Compares the remaining time that further attempts state to their servers with the time that the
/// client has left when they arrive. A fetch after a miss counts as a further attempt. First
/// attempts are not checked, because they state what the client itself wrote.
class StatedTimeCheck {
 public:
  /// An attempt is overstated if it states more than the client's remaining time plus this slack.
  static constexpr Duration kSlack = std::chrono::milliseconds(150);
  /// One in this many further attempts may be overstated.
  static constexpr std::uint64_t kAllowedOneIn = 5;

  /// Registers an attempt. Returns whether it is overstated.
  bool on_further_attempt(Duration left, std::optional<Duration> told) {
    ++check_.cases;
    const bool overstated = told && *told > left + kSlack;
    check_.broken += overstated;
    return overstated;
  }
  void set_example(const std::string& text) {
    if (check_.example.empty()) check_.example = text;
  }

  Check check() const {
    Check result = check_;
    result.allowed = check_.cases / kAllowedOneIn;
    return result;
  }

 private:
  Check check_{"further attempts told more time than is left", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

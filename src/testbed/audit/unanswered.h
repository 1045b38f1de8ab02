#pragma once

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// Counts requests without a complete answer at their deadline, whether the answer comes later or
/// never.
class UnansweredCheck {
 public:
  /// One in kAllowedOneIn requests may be unanswered, and kAllowedExtra more.
  static constexpr std::uint64_t kAllowedOneIn = 500, kAllowedExtra = 5;
  /// The part of a scenario's `answer_slack` that the testbed itself needs; the rest is for the
  /// balancers.
  static constexpr Duration kTestbedSlack = std::chrono::milliseconds(20);

  explicit UnansweredCheck(Duration answer_slack) : slack_(answer_slack - kTestbedSlack) {}

  /// Registers the end of a request. `late`: how long after the client's deadline it ended; kNever
  /// if it got no answer at all. Returns whether it counts as unanswered.
  bool on_end(Duration late) {
    ++check_.cases;
    const bool unanswered = late > slack_;
    check_.broken += unanswered;
    return unanswered;
  }
  void set_example(const std::string& text) {
    if (check_.example.empty()) check_.example = text;
  }

  Check check() const {
    Check result = check_;
    result.allowed = check_.cases / kAllowedOneIn + kAllowedExtra;
    return result;
  }

 private:
  const Duration slack_;
  Check check_{"requests with no answer when their time is up", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

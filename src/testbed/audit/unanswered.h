#pragma once

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// Requests that have no whole answer when their time is up, whether it comes later or never.
class Unanswered {
 public:
  /// One of so many requests, and so many more.
  static constexpr std::uint64_t kOneOf = 500, kMore = 5;
  /// The part of a scenario's `answer_slack` that is the rig's own: the rest is the balancers'.
  static constexpr Duration kRigsOwn = std::chrono::milliseconds(20);

  explicit Unanswered(Duration answer_slack) : slack_(answer_slack - kRigsOwn) {}

  /// `late`: how long behind the client's time the request ended; kNever: with no answer at all.
  /// True if it was unanswered.
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
    result.allowed = check_.cases / kOneOf + kMore;
    return result;
  }

 private:
  const Duration slack_;
  Check check_{"requests with no answer when their time is up", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

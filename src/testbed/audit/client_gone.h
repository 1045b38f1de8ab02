#pragma once

#include <algorithm>

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// Counts the attempts that balancers begin for clients that closed their connection or gave up
/// before the answer arrived.
class AbandonedRequestChecks {
 public:
  /// An attempt that begins more than this after the client's close is late.
  static constexpr Duration kGrace = std::chrono::milliseconds(100);
  /// This many late attempts are attributed to chance; each further one breaks the first rule.
  static constexpr std::uint64_t kAllowedLateAttempts = 2;
  /// A request without an attempt at its client's close counts as sent on if its first attempt
  /// begins more than this after the close.
  static constexpr Duration kWaitingGrace = std::chrono::milliseconds(300);
  /// One in kWaitingOneIn of these requests may be sent on, and up to kWaitingLeast - 1 in any
  /// case.
  static constexpr std::uint64_t kWaitingOneIn = 4, kWaitingLeast = 5;

  /// Registers a client's close. `waiting`: no attempt of the request has reached a host.
  void on_client_close(bool waiting) { waiting_.cases += waiting; }
  /// Registers an attempt that begins `since` after the client's close. `first`: it is the first of
  /// its request. Returns whether it is late.
  bool on_attempt(Duration since, bool first) {
    const bool late = since > kGrace;
    ++attempts_.cases;
    attempts_.broken += late;
    waiting_.broken += first && since > kWaitingGrace;
    return late;
  }
  bool exceeds_allowance() const { return attempts_.broken > kAllowedLateAttempts; }
  void set_example(const std::string& text) {
    if (attempts_.example.empty()) attempts_.example = text;
    if (waiting_.example.empty() && waiting_.broken > 0) waiting_.example = text;
  }

  /// Cases: attempts that began after the close.
  Check attempts() const {
    Check result = attempts_;
    result.allowed = kAllowedLateAttempts;
    return result;
  }
  /// Cases: requests that were waiting for their first attempt at their client's close.
  Check waiting() const {
    Check result = waiting_;
    result.allowed = std::max(kWaitingLeast - 1, waiting_.cases / kWaitingOneIn);
    return result;
  }

 private:
  Check attempts_{"attempts begun late behind the client's close", 0, 0, 0, {}};
  Check waiting_{"waiting requests sent on behind the close", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

#pragma once

#include <algorithm>

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// What balancers do for clients that have gone: that closed their connection, or gave up, before
/// their answer came.
class ClientGone {
 public:
  /// An attempt that begins later than this behind the client's close is late.
  static constexpr Duration kGrace = std::chrono::milliseconds(100);
  /// So many late attempts are put down to chance; the next one breaks the first rule.
  static constexpr std::uint64_t kChance = 2;
  /// A request that was still waiting for its first attempt is sent on if that comes later than
  /// this.
  static constexpr Duration kWaitingGrace = std::chrono::milliseconds(300);
  /// One of so many of them may be sent on, and fewer than the least in any case.
  static constexpr std::uint64_t kWaitingOneOf = 4, kWaitingLeast = 5;

  /// `waiting`: no attempt of the request has reached a host.
  void on_gone(bool waiting) { waiting_.cases += waiting; }
  /// An attempt for a client that went `since` ago. `first`: of its request. True if it is late.
  bool on_attempt(Duration since, bool first) {
    const bool late = since > kGrace;
    ++attempts_.cases;
    attempts_.broken += late;
    waiting_.broken += first && since > kWaitingGrace;
    return late;
  }
  bool beyond_chance() const { return attempts_.broken > kChance; }
  void set_example(const std::string& text) {
    if (attempts_.example.empty()) attempts_.example = text;
    if (waiting_.example.empty() && waiting_.broken > 0) waiting_.example = text;
  }

  /// Cases: attempts that began behind the close.
  Check attempts() const {
    Check result = attempts_;
    result.allowed = kChance;
    return result;
  }
  /// Cases: requests that were waiting when their client went.
  Check waiting() const {
    Check result = waiting_;
    result.allowed = std::max(kWaitingLeast - 1, waiting_.cases / kWaitingOneOf);
    return result;
  }

 private:
  Check attempts_{"attempts begun late behind the client's close", 0, 0, 0, {}};
  Check waiting_{"waiting requests sent on behind the close", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "structures/time.h"

namespace balancer::lease {

struct EligibilitySettings {
  // How long an eligible instance may be without hosts or routers before it becomes ineligible.
  // Covers the replacement of endpoint lists and the reconnection of sessions. Default: 300 ms.
  Duration grace_period{std::chrono::milliseconds(300)};
  // How long all conditions must be met before an ineligible instance becomes eligible again.
  // Doubles with each further relapse within the last minute, up to 16 times this value. Default:
  // 500 ms.
  Duration recovery_time{std::chrono::milliseconds(500)};
  // An event loop counts as overloaded or stalled if it was late by `lateness_threshold` or more at
  // `max_late_checks` checks within `late_window`. Defaults: 250 ms, 3 times, 3 s.
  Duration lateness_threshold{std::chrono::milliseconds(250)};
  std::size_t max_late_checks = 3;
  Duration late_window{std::chrono::seconds(3)};
};

// Decides whether this instance is eligible to hold service addresses. An ineligible instance hands
// its addresses over gracefully, and a flapping instance is assigned none. Performs no I/O and
// reads no clock; `now` is passed to every call and must not decrease.
class Eligibility {
 public:
  // Conditions for eligibility. Each counts as met until it is reported otherwise.
  enum class Condition { kHostsListed, kListenerOpen, kRoutersConnected, kNotDraining };
  static constexpr std::size_t kConditions = 4;

  explicit Eligibility(const EligibilitySettings& settings) : settings_(settings) {}

  // Reports whether a condition is met. kHostsListed and kRoutersConnected have a grace period; the
  // other conditions take effect immediately.
  void on_condition(Time now, Condition condition, bool is_met);
  // Reports by how much a periodic timer of the event loop was late. Must be called at each expiry.
  void on_lateness(Time now, Duration late);

  // Returns whether the instance is eligible, and updates reason().
  bool eligible(Time now);
  // Returns why the last call of eligible() returned false, or "ready". Part of the status JSON.
  const std::string& reason() const { return reason_; }
  // Returns the time at which eligible() may change without a further report, or Time::max().
  Time next_timer_at() const;

 private:
  struct ConditionState {
    bool is_met = true;
    Time since{0};
  };

  // Returns the reason for the first unmet condition, or an empty string.
  std::string_view unmet_condition(Time now) const;
  Duration steady_time() const;

  const EligibilitySettings settings_;
  std::array<ConditionState, kConditions> conditions_;
  std::deque<Time> late_at_;
  bool is_eligible_ = false;
  bool was_ever_eligible_ = false;
  Time eligible_at_{Time::max()};  // if all conditions stay met until then
  std::deque<Time> relapses_;
  std::string reason_ = "starts";
};

}  // namespace balancer::lease

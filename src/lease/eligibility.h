#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "structures/time.h"

namespace balancer::lease {

struct EligibilitySettings {
  // How long hosts or routers may be missing before an eligible instance ceases to be so: endpoint
  // lists are replaced, sessions reconnect. Default: 300 ms.
  Duration grace{std::chrono::milliseconds(300)};
  // How long all conditions must be met before an instance that was not eligible is so again. It
  // doubles with each relapse within the last minute, up to 16 times. Default: 500 ms.
  Duration steady{std::chrono::milliseconds(500)};
  // An event loop that was late by `late` or more at `late_times` checks within `late_window` is
  // overloaded or stalled. Defaults: 250 ms, 3 times, 3 s.
  Duration late{std::chrono::milliseconds(250)};
  std::size_t late_times = 3;
  Duration late_window{std::chrono::seconds(3)};
};

// Whether this instance can serve a service address, so that one that cannot hands its addresses
// over gracefully, and one that flaps is given none. No I/O and no clock; `now` comes with every
// call and never goes back.
class Eligibility {
 public:
  // What must hold; each condition counts as met until it is reported otherwise.
  enum class Condition { kHostsListed, kListenerOpen, kRoutersConnected, kNotDraining };
  static constexpr std::size_t kConditions = 4;

  explicit Eligibility(const EligibilitySettings& settings) : settings_(settings) {}

  // kHostsListed and kRoutersConnected have a grace, the others count at once.
  void on_condition(Time now, Condition condition, bool is_met);
  // By how much a periodic timer of the event loop was late; to be reported at each expiry.
  void on_lateness(Time now, Duration late);

  bool eligible(Time now);
  // Why it was not eligible at the last call of eligible(), or "ready". In the status JSON.
  const std::string& reason() const { return reason_; }
  // When eligible() may change without a further report; Time::max(): not at all.
  Time next() const;

 private:
  struct ConditionState {
    bool is_met = true;
    Time since{0};
  };

  // The first reason against it, or empty.
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

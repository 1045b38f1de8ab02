#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "structures/time.h"

namespace balancer::lease {

struct EligibilitySettings {
  // What is missing for less than this is not missed: lists are exchanged, sessions come back.
  Duration grace{std::chrono::milliseconds(300)};
  // After it could not, an instance must have been well for so long before it says that it can. At
  // each relapse within the last minute it doubles, up to 16 times.
  Duration steady{std::chrono::milliseconds(500)};
  // An event loop that came later than this, so often within the window, cannot do the work.
  Duration late{std::chrono::milliseconds(250)};
  std::size_t late_times = 3;
  Duration late_window{std::chrono::seconds(3)};
};

// Whether an instance can do the work behind a service address, from what is seen of its parts: so
// that one that cannot gives its addresses up in order, and one that comes and goes gets none. No
// I/O and no clock; `now` comes with every call and never goes back.
class Eligibility {
 public:
  // What must be there; a part that is told nothing of is.
  enum class Part { kHosts, kListener, kRouters, kStays };
  static constexpr std::size_t kParts = 4;

  explicit Eligibility(const EligibilitySettings& settings) : settings_(settings) {}

  // kListener and kStays count at once, the others after the grace.
  void on_part(Time now, Part part, bool there);
  // How late the event loop was with something that it had to do at a time; told regularly.
  void on_lateness(Time now, Duration late);

  bool eligible(Time now);
  const std::string& why() const { return why_; }  // not, or "ready"
  Time next() const;                               // when able() may differ without further news

 private:
  std::string_view missing(Time now) const;

  const EligibilitySettings settings_;
  struct State {
    bool there = true;
    Time since{0};
  };
  std::array<State, kParts> parts_;
  std::deque<Time> late_at_;
  bool eligible_ = false, ever_ = false;
  Time well_at_{Time::max()};  // when nothing will have been missing for long enough
  std::deque<Time> relapses_;
  std::string why_ = "starts";
};

}  // namespace balancer::lease

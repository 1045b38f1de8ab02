#pragma once

#include <algorithm>

#include "structures/time.h"

namespace balancer {

// How hosts that have just started gain capacity.
struct SlowStartRule {
  // Share of its full capacity that a host has when it starts, 0 to 1. Default: 1, no slow start.
  double start_capacity = 1;
  // Time from its start until a host has its full capacity; it grows about evenly. Default: 0.
  Duration warm_up_time{0};
};

// Slow start of one cache host: its weight by age, and a budget of work that this balancer may send
// while the host is warming up.
class SlowStart {
 public:
  // The host has started, at `started`. Many balancers each with a whole request to spare would
  // together swamp it, so each begins with `initial_budget` of one request, 0 to 1, drawn at
  // random.
  void on_start(Time started, double initial_budget);
  // That start was earlier than was known.
  void on_earlier_start(Time started) { started_ = std::min(started_, started); }

  // Share of its full capacity, 0 to 1; 1 once it is warm or where its start is not known.
  double weight(Time now, const SlowStartRule& rule) const;
  // Refills the budget up to `now`; whether `work` seconds may be sent then. `normal_rate`: the
  // work (seconds per second) that this balancer sends to a warm host of the same size; the budget
  // fills at that rate times the weight.
  bool has_budget(Time now, const SlowStartRule& rule, double work, double normal_rate);
  // Takes the work of an attempt, in seconds, from the budget.
  void spend(double work) { budget_ -= work; }

 private:
  Time started_ = Time::min();
  double budget_ = 0;  // seconds of work
  double initial_budget_ = 0;
  Time budget_at_{0};  // when it was last filled; 0 before the first time
};

}  // namespace balancer

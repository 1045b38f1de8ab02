#pragma once

#include <algorithm>

#include "structures/time.h"

namespace balancer {

// Capacity of hosts that have recently started.
struct SlowStartRule {
  // Share of its full capacity that a host has when it starts, 0 to 1. Default: 1, no slow start.
  double start_capacity = 1;
  // Time from its start until a host has its full capacity. The capacity grows about linearly.
  // Default: 0.
  Duration warm_up_time{0};
};

// Slow start of one cache host: a weight that depends on its age, and a budget of work that this
// balancer may send while the host is warming up.
class SlowStart {
 public:
  // Records that the host started at `started`. `initial_budget`: random initial budget in
  // requests, 0 to 1. If many balancers each started with a budget of a whole request, together
  // they would overload the host.
  void on_start(Time started, double initial_budget);
  // Corrects the start time if `started` is earlier than the known one.
  void on_earlier_start(Time started) { started_ = std::min(started_, started); }

  // Returns the share of its full capacity that the host has, 0 to 1; 1 after its warm-up, or if
  // its start time is unknown.
  double weight(Time now, const SlowStartRule& rule) const;
  // Refills the budget up to `now` and returns whether `work` seconds may be sent then.
  // `normal_rate`: the work, in seconds per second, that this balancer sends to a warm host of the
  // same size. The budget is refilled at that rate times the weight.
  bool has_budget(Time now, const SlowStartRule& rule, double work, double normal_rate);
  // Subtracts the work of an attempt, in seconds, from the budget.
  void spend(double work) { budget_ -= work; }

 private:
  Time started_ = Time::min();
  double budget_ = 0;  // seconds of work
  double initial_budget_ = 0;
  Time budget_at_{0};  // time of the last refill; 0 before the first one
};

}  // namespace balancer

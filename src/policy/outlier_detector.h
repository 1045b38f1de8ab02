#pragma once

#include <algorithm>

#include "structures/in_flight_times.h"
#include "structures/time.h"

namespace balancer {

// Tracks the health of one cache host from this balancer's own attempts: ejects the host after
// failures, and lowers its load factor while its answers are slow.
class OutlierDetector {
 public:
  void on_sent(Time now) { in_flight_.add(now); }
  void on_ended(Time sent_at) { in_flight_.remove(sent_at); }
  bool is_idle() const { return in_flight_.empty(); }
  // Returns whether the oldest attempt has been in flight for longer than `threshold`, which means
  // that the host hangs or its queue is long.
  bool has_stalled_attempts(Time now, Duration threshold) const {
    return in_flight_.oldest_exceeds(now, threshold);
  }

  // Adjusts the load factor after an answer. `slow`: the answer did not arrive in time.
  void on_answer(Time now, bool slow);
  // Returns the share of its keys that the host keeps, 0.1 to 1.
  double load_factor(Time now) const;
  void restore_load_factor(Time now, double factor);

  // Ends an ejection and resets the failure and error counts.
  void on_success();
  // Ejects the host for 1 s, doubled with each further failure up to 8 s, times 0.5 to 1.5.
  // `jitter`, in [0, 1), keeps balancers that saw the same failure from using the host again at the
  // same time.
  void on_failure(Time now, double jitter);
  // Records an answer that reports a failure or could not be parsed. Three in a row eject the host.
  void on_error(Time now, double jitter);
  bool is_ejected(Time now) const { return now < ejected_until_; }
  // Resets the health of the host because a new process serves under its id.
  void on_restart();

 private:
  InFlightTimes in_flight_;
  double load_factor_ = 1;
  Time load_factor_at_{0};
  int consecutive_failures_ = 0;
  int consecutive_errors_ = 0;
  Time ejected_until_{0};
};

}  // namespace balancer

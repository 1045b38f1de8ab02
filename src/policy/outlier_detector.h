#pragma once

#include <algorithm>

#include "structures/time.h"
#include "structures/times_out.h"

namespace balancer {

// One cache host as this balancer's own attempts show it: ejection after failures, and a load
// factor that falls while its answers are slow.
class OutlierDetector {
 public:
  void on_sent(Time now) { in_flight_.add(now); }
  void on_ended(Time sent_at) { in_flight_.remove(sent_at); }
  bool is_idle() const { return in_flight_.empty(); }
  // The oldest attempt has been in flight for longer than `threshold`: the host hangs, or its queue
  // is long.
  bool has_stalled_attempts(Time now, Duration threshold) const {
    return in_flight_.any_beyond(now, threshold);
  }

  // An answer came in time, or was slow to come: moves the load factor.
  void on_answer(Time now, bool slow);
  // The share of its keys that the host keeps, 0.1 to 1.
  double load_factor(Time now) const;
  void restore_load_factor(Time now, double factor);

  // Ends an ejection.
  void on_success();
  // Ejects the host for 1 s, doubled with each further failure up to 8 s, times 0.5 to 1.5.
  // `jitter`, in [0, 1), keeps balancers that saw the same failure from returning in step.
  void on_failure(Time now, double jitter);
  // An answer that reports a failure or could not be read; three in a row eject the host.
  void on_error(Time now, double jitter);
  bool is_ejected(Time now) const { return now < ejected_until_; }
  // A new process serves under the host's id: what the old one showed is forgotten.
  void on_restart();

 private:
  TimesOut in_flight_;
  double load_factor_ = 1;
  Time load_factor_at_{0};
  int consecutive_failures_ = 0;
  int consecutive_errors_ = 0;
  Time ejected_until_{0};
};

}  // namespace balancer

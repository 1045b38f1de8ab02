#pragma once

#include <algorithm>

#include "structures/time.h"
#include "structures/times_out.h"

namespace balancer {

// Admission control by the load-adaptive PI controller of Amani et al., section V. It keeps the
// mean time of fetches from the origin at a target by admitting a fraction of what could arrive:
// for fetches after a cache miss the rate of reads, since each might miss. The same controller
// meters reads of the caches, with the share of slow answers in place of a time. `now` never goes
// back. docs/design/loops.md says what is measured, and why the low point is what it is.
class AdmissionController {
 public:
  // `target`: 1 ms at least.
  AdmissionController(Duration target, Time now);

  // A read arrived that may come to need a fetch.
  void on_read(Time now);
  // Whether a fetch may be sent now; true takes a token.
  bool admit(Time now);
  // A fetch was sent.
  void on_sent(Time now);
  // A fetch that was sent at `sent_at` has ended.
  void on_done(Time sent_at, Time now, bool failed);
  // A fetch has ended in a way that says nothing of the origin.
  void on_dropped(Time sent_at, Time now);
  // In place of the three above, where the controlled value is not a time: a sample in seconds of
  // the target's scale; below the target is good.
  void on_sample(Time now, double value);
  // Ends the sampling periods that have passed.
  void advance(Time now);

  // 0.05 to 1.
  double admit_fraction() const { return admit_fraction_; }
  // Takes the fraction of a process whose place this one takes; clamped to its bounds.
  void restore(double admit_fraction) { admit_fraction_ = std::clamp(admit_fraction, 0.05, 1.0); }
  bool admits_all() const { return admit_fraction_ >= 1; }
  Duration target() const { return from_seconds(target_); }

 private:
  // A point of the paper's line from admitted rate to time.
  struct Point {
    double rate;  // admit fraction
    double time;  // seconds
  };

  void accumulate_in_flight(Time now);
  void end_period(Time now);
  // One step of the controller. `mean`: of the samples, `since`: since the last step; in seconds.
  void control(double mean, double since);

  const double target_;  // seconds
  double admit_fraction_ = 1;
  Point low_, high_;
  double filtered_ = 0;
  double integral_ = 0;

  Time period_started_at_;
  Time controlled_at_;
  Time last_admitted_at_;
  int periods_ = 0;
  int reads_ = 0;              // in this period
  double read_rate_ = 0;       // per second, smoothed
  bool has_rejected_ = false;  // in the time since the last step
  double tokens_;
  Time tokens_at_;

  TimesOut in_flight_;
  Time accumulated_at_;
  // Since the last step: time in flight of all fetches, in seconds, or the sum of the samples.
  double sample_sum_ = 0;
  int samples_ = 0;       // that ended since then
  int good_samples_ = 0;  // of these
  double good_rate_ = 0;  // per second, smoothed
  double max_good_ = 0;   // its recent maximum
};

}  // namespace balancer

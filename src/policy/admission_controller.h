#pragma once

#include <algorithm>

#include "structures/in_flight_times.h"
#include "structures/time.h"

namespace balancer {

// Admission control by the load-adaptive PI controller of Amani et al., section V. It keeps the
// mean duration of fetches from the origin at a target by admitting a fraction of the possible
// arrivals. For fetches after a cache miss these are all reads, since each read might miss. The
// same controller also limits reads of the caches; its samples are then the share of slow answers
// instead of durations. `now` never decreases between calls. docs/design/loops.md describes the
// measurement and the choice of the low point.
class AdmissionController {
 public:
  // A `target` below 1 ms is raised to 1 ms.
  AdmissionController(Duration target, Time now);

  // Records the arrival of a read that may need a fetch.
  void on_read(Time now);
  // Returns whether a fetch may be sent now, and takes a token if so.
  bool admit(Time now);
  // Records that a fetch was sent.
  void on_sent(Time now);
  // Records the end of a fetch that was sent at `sent_at`.
  void on_done(Time sent_at, Time now, bool failed);
  // Records the end of a fetch whose outcome says nothing about the origin's load.
  void on_dropped(Time sent_at, Time now);
  // Records one sample of a controlled value that is not a duration; used instead of on_sent(),
  // on_done() and on_dropped(). `value` is on the target's scale, in seconds; values below the
  // target count as good.
  void on_sample(Time now, double value);
  // Completes all sampling periods that end at or before `now`.
  void advance(Time now);

  // Returns the admitted fraction of arrivals, 0.05 to 1.
  double admit_fraction() const { return admit_fraction_; }
  // Restores the admit fraction of the predecessor process, clamped to 0.05 to 1.
  void restore(double admit_fraction) { admit_fraction_ = std::clamp(admit_fraction, 0.05, 1.0); }
  bool admits_all() const { return admit_fraction_ >= 1; }
  Duration target() const { return from_seconds(target_); }

 private:
  // A point on the paper's line that maps the admitted rate to the fetch duration.
  struct Point {
    double rate;  // admit fraction
    double time;  // seconds
  };

  void accumulate_in_flight(Time now);
  void end_period(Time now);
  // Runs one controller step. `mean`: mean of the samples, in seconds. `since`: time since the last
  // step, in seconds.
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
  bool has_rejected_ = false;  // since the last step
  double tokens_;
  Time tokens_at_;

  InFlightTimes in_flight_;
  Time accumulated_at_;
  // Total time in flight of all fetches since the last step, in seconds, or the sum of the samples.
  double sample_sum_ = 0;
  int samples_ = 0;       // ended since the last step
  int good_samples_ = 0;  // good ones among `samples_`
  double good_rate_ = 0;  // per second, smoothed
  double max_good_ = 0;   // recent maximum of `good_rate_`, per second
};

}  // namespace balancer

#pragma once

#include <algorithm>

#include "structures/time.h"
#include "structures/times_out.h"

namespace balancer {

// The load-adaptive PI controller of Amani et al., section V, which meters fetches from the origin.
// Its output is the paper's normalised admitted rate: a share of the highest rate that could
// arrive, which for fetches after a cache miss is the rate of reads, since each might miss.
// docs/design/loops.md tells what is measured, and why the low point is what it is.
class AdmissionController {
 public:
  AdmissionController(Duration target, Time now);

  void on_read(Time now);  // a read arrived that might come to need the origin
  bool admit(Time now);    // a fetch asks to go; true lets it and spends its turn
  void on_sent(Time now);  // it went out
  void on_done(Time sent, Time now, bool failed);
  // In place of the three above, where what is metered is not a time: below the target is good.
  void on_sample(Time now, double value);
  // It ended in a way that tells nothing of the origin.
  void on_dropped(Time sent, Time now);
  void advance(Time now);  // ends the sampling periods that have passed

  double admit_fraction() const { return admit_fraction_; }
  void resume(double admit_fraction) { admit_fraction_ = std::clamp(admit_fraction, 0.05, 1.0); }
  bool admits_all() const { return admit_fraction_ >= 1; }  // holds nothing back
  Duration target() const { return from_seconds(target_); }

 private:
  struct Point {
    double rate;
    double time;
  };

  void count_out(Time now);
  void end_period(Time now);
  void control(double mean, double since);

  const double target_;
  double admit_fraction_ = 1;
  Point low_, high_;
  double filtered_ = 0;
  double integral_ = 0;

  Time period_start_;
  Time controlled_at_;
  Time last_sent_;
  int periods_ = 0;
  int reads_ = 0;         // this period
  double read_rate_ = 0;  // a second, smoothed
  bool refused_ = false;  // since the last step
  double tokens_;
  Time tokens_at_;

  TimesOut out_;  // fetches
  Time counted_at_;
  double sum_ = 0;   // of what was sampled since the last step: here seconds out, of all fetches
  int samples_ = 0;  // what ended since then
  int good_ = 0;     // of that
  double good_rate_ = 0;  // a second, smoothed
  double max_good_ = 0;   // the highest of that lately
};

}  // namespace balancer

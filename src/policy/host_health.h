#pragma once

#include <algorithm>

#include "structures/time.h"
#include "structures/times_out.h"

namespace balancer {

// What the rules say of hosts that have just started.
struct ColdRule {
  double start_capacity = 1;  // the share of its capacity that a host has when it starts
  Duration warm_after{0};     // at the latest; the share grows about evenly until then
};

// One host as this balancer sees it: outlier ejection and slow start.
class HostHealth {
 public:
  void on_sent(Time now) { out_.add(now); }
  void on_ended(Time sent) { out_.remove(sent); }
  bool idle() const { return out_.empty(); }
  // Its oldest attempt has been out for longer than `patience`: it is hung, or its queue is long.
  bool stuck(Time now, Duration patience) const { return out_.any_beyond(now, patience); }
  // An answer came in time, or was slow to come: moves the share of its keys that the host keeps.
  void on_answer(Time now, bool slow);
  double share(Time now) const;
  void resume(Time now, double share) { share_ = std::clamp(share, 0.1, 1.0), share_at_ = now; }
  void on_success();
  // Ejects the host for a while after a failure that says it is away or hung. `jitter`, in [0,1),
  // keeps balancers that saw the same failure from coming back in step.
  void on_failure(Time now, double jitter);
  // An answer that says it failed, or could not be read; some in a row eject the host.
  void on_error(Time now, double jitter);
  bool ejected(Time now) const { return now < ejected_until_; }

  void on_start(Time started, double jitter);
  // That start was earlier than thought.
  void on_older(Time started) { started_ = std::min(started_, started); }
  double warmth(Time now, const ColdRule& rule) const;  // its share of full capacity, 1 once warm
  // Slow start. `normal_rate` is the work (seconds a second) that this balancer gives a warm host
  // of the same size; a cold one may get that times its warmth. The sum over any window is bounded.
  bool may_take(Time now, const ColdRule& rule, double work, double normal_rate);
  void take(double work) { budget_ -= work; }

 private:
  TimesOut out_;  // attempts
  double share_ = 1;
  Time share_at_{0};
  int failures_ = 0;
  int errors_ = 0;  // in a row
  Time ejected_until_{0};
  Time started_ = Time::min();
  double budget_ = 0;  // seconds of work that may be sent while cold
  double first_fill_ = 0;
  Time budget_at_{0};
};

}  // namespace balancer

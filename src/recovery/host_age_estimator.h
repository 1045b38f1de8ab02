#pragma once

#include <optional>

#include "structures/time.h"

namespace balancer::recovery {

// Turns the Unix times at which cache hosts say they started into times of this process's monotonic
// clock, without trusting the wall clock of this machine, which may be wrong by any amount.
//
// What is certain is one-sided: no host has started in the future, so each listed start proves that
// the true Unix time is that much or more. The greatest such lower bound makes a host at most as
// old as it is. Too young is the safe side: it costs a host at most one slow start, where too old
// overloads a host that is warming up. A host is never younger than the time since it was first
// listed, so that each warms up in time, however wrong the clocks are. docs/design/recovery.md
//
// No I/O, no clock: times come with each call.
class HostAgeEstimator {
 public:
  // `wall_offset`: what the wall clock showed less what the monotonic clock showed, read once. It
  // only limits what a host whose own clock is ahead may make others look older by.
  explicit HostAgeEstimator(Duration wall_offset) : wall_offset_(wall_offset) {}

  // It was `unix_time` or later at `now`: a host had started by then, or a service's clock said so.
  void on_unix_time(Time now, UnixTime unix_time);
  // When a host that says it was born at `born` started, as far as is known; not after `now`.
  // Without any Unix time known, `now`.
  Time started(Time now, UnixTime born) const;

 private:
  const Duration wall_offset_;
  std::optional<Duration> min_offset_;  // of Unix time from the monotonic clock: it is no less
};

}  // namespace balancer::recovery

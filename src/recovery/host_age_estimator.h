#pragma once

#include <optional>

#include "structures/time.h"

namespace balancer::recovery {

// Converts the start times that cache hosts report in Unix time into times of this process's
// monotonic clock, without relying on this machine's wall clock, which may be wrong by any amount.
//
// Only a lower bound is certain: no host has started in the future, so each listed start proves
// that the true Unix time is at least that value. With the greatest such bound a host is never
// estimated to be older than it is. Underestimating the age is the safe side: it costs a host at
// most one slow start, whereas overestimating it overloads a host that is warming up. A host is
// never estimated to be younger than the time since it was first listed, so every host finishes its
// warm-up in time, however wrong the clocks are. docs/design/recovery.md
//
// Uses no I/O and no clock: the time is passed with each call.
class HostAgeEstimator {
 public:
  // `wall_offset`: wall clock time minus monotonic time, read once. It only limits by how much a
  // host whose own clock is ahead can make other hosts look older.
  explicit HostAgeEstimator(Duration wall_offset) : wall_offset_(wall_offset) {}

  // Records that the Unix time at `now` is `unix_time` or later, because a host had started at that
  // time or a service reported it.
  void on_unix_time(Time now, UnixTime unix_time);
  // Returns the estimated start time of a host that reports the start time `born`; at most `now`.
  // Returns `now` if no Unix time is known yet.
  Time started(Time now, UnixTime born) const;

 private:
  const Duration wall_offset_;
  std::optional<Duration> min_offset_;  // lower bound of Unix time minus monotonic time
};

}  // namespace balancer::recovery

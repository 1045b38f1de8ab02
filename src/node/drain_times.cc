#include "node/drain_times.h"

#include <algorithm>
#include <chrono>

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// The platform sends new connections for up to 400 ms after the signal.
constexpr Duration kAcceptTime = milliseconds(600);
// Times after the longest deadline.
constexpr Duration kAnswerGrace = milliseconds(400), kExitGrace = milliseconds(550);
// The first connections are closed after the longest deadline divided by this.
constexpr int kFirstCloseDivisor = 2;

}  // namespace

DrainTimes drain_times(Time signalled_at, Duration longest_deadline) {
  DrainTimes times;
  times.signalled_at = signalled_at;
  times.accepts_until = signalled_at + kAcceptTime;
  times.last_close = signalled_at + std::max(longest_deadline - kLastRequestTime, kAcceptTime);
  times.first_close =
      std::min<Time>(signalled_at + longest_deadline / kFirstCloseDivisor, times.last_close);
  times.fail_at = signalled_at + longest_deadline + kAnswerGrace;
  times.exit_at = signalled_at + longest_deadline + kExitGrace;
  return times;
}

}  // namespace balancer::node

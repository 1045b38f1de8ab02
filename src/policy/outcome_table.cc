#include "policy/outcome_table.h"

#include <cstddef>

namespace balancer {
namespace {

using State = AttemptState;
using Host = HostSignal;
using Zone = ZoneSignal;
using Origin = OriginSignal;
using Next = NextStep;

struct Row {
  Result result;
  OutcomeRule rule;
};

// Results kError and kReset are HostSignal::kError, not kFailure: an occasional one may be caused
// by the connection or the request, and a host that is unavailable refuses the next connection.
// Several in a row still eject the host, because a host that quickly answers with errors would keep
// failing all its keys without ever showing a time-out or a queue.
constexpr Row kRows[] = {
    {Result::kOk,
     {State::kMayHaveRun, Host::kInTime, Zone::kReachable, Origin::kServed, Next::kAnswered}},
    {Result::kError,
     {State::kMayHaveRun, Host::kError, Zone::kNone, Origin::kFailed, Next::kRetryOrRefetch}},
    {Result::kRejected,
     {State::kNeverRan, Host::kOverloaded, Zone::kReachable, Origin::kFailed, Next::kRetry}},
    {Result::kTimeout,
     {State::kMayHaveRun, Host::kNone, Zone::kUnreachable, Origin::kFailed, Next::kRetry}},
    {Result::kConnectFailed,
     {State::kNeverRan, Host::kFailure, Zone::kUnreachable, Origin::kFailed, Next::kRetry}},
    {Result::kReset,
     {State::kMayHaveRun, Host::kError, Zone::kUnreachable, Origin::kFailed,
      Next::kRetryOrRefetch}},
    {Result::kCancelled,
     {State::kMayHaveRun, Host::kNone, Zone::kNone, Origin::kNone, Next::kRetry}},
    {Result::kNotSent,
     {State::kNeverRan, Host::kNone, Zone::kNone, Origin::kNone, Next::kRejectOrFail}},
    {Result::kMiss,
     {State::kMissed, Host::kInTime, Zone::kReachable, Origin::kFailed, Next::kFetch}},
    {Result::kRedirected,
     {State::kNeverRan, Host::kInTime, Zone::kReachable, Origin::kNone, Next::kResendUnbudgeted}},
    {Result::kWithdrawn,
     {State::kNeverRan, Host::kNone, Zone::kNone, Origin::kNone, Next::kResendUnbudgeted}},
};

constexpr bool is_in_order() {
  std::size_t next = 0;
  for (const Row& row : kRows)
    if (static_cast<std::size_t>(row.result) != next++) return false;
  return next == static_cast<std::size_t>(Result::kWithdrawn) + 1;
}
static_assert(is_in_order(), "one row for each result, in the order of the enumeration");

}  // namespace

const OutcomeRule& outcome_rule(Result result) {
  return kRows[static_cast<std::size_t>(result)].rule;
}

}  // namespace balancer

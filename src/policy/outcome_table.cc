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

// kError and kReset are kError for the host, not kFailure: one now and then is the connection's or
// the request's, and a host that is away refuses the next connection. But a host that answers
// little else, and at once, would attract and fail all its keys: no time-out and no queue ever
// shows it.
constexpr Row kRows[] = {
    {Result::kOk,
     {State::kMayHaveRun, Host::kInTime, Zone::kReachable, Origin::kServed, Next::kAnswered}},
    {Result::kError,
     {State::kMayHaveRun, Host::kError, Zone::kNone, Origin::kFailed, Next::kRetryFetchToo}},
    {Result::kRejected,
     {State::kNeverRan, Host::kOverloaded, Zone::kReachable, Origin::kFailed, Next::kRetry}},
    {Result::kTimeout,
     {State::kMayHaveRun, Host::kNone, Zone::kUnreachable, Origin::kFailed, Next::kRetry}},
    {Result::kConnectFailed,
     {State::kNeverRan, Host::kFailure, Zone::kUnreachable, Origin::kFailed, Next::kRetry}},
    {Result::kReset,
     {State::kMayHaveRun, Host::kError, Zone::kUnreachable, Origin::kFailed, Next::kRetryFetchToo}},
    {Result::kCancelled,
     {State::kMayHaveRun, Host::kNone, Zone::kNone, Origin::kNone, Next::kRetry}},
    {Result::kNotSent,
     {State::kNeverRan, Host::kNone, Zone::kNone, Origin::kNone, Next::kRejectOrFail}},
    {Result::kMiss,
     {State::kMissed, Host::kInTime, Zone::kReachable, Origin::kFailed, Next::kFetch}},
    {Result::kRedirected,
     {State::kNeverRan, Host::kInTime, Zone::kReachable, Origin::kNone, Next::kSendElsewhere}},
    {Result::kWithdrawn,
     {State::kNeverRan, Host::kNone, Zone::kNone, Origin::kNone, Next::kSendElsewhere}},
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

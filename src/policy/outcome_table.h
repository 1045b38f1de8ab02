#pragma once

#include "policy/request.h"
#include "policy/request_state.h"

// Maps the result of an attempt to its consequences: whether the request may have been executed,
// the signals for the host, its zone and the origin, and the next step of the request.
namespace balancer {

// Signal for the outlier detector of the cache host.
enum class HostSignal {
  kNone,
  kInTime,      // answered in time
  kOverloaded,  // counts as a slow answer
  kError,       // ejects the host after several in a row
  kFailure      // ejects the host immediately
};

// Signal for the failure detector of the cache host's zone.
enum class ZoneSignal { kNone, kReachable, kUnreachable };

// Signal for the admission controller of the origin, for attempts at the origin.
enum class OriginSignal {
  kNone,    // the duration is not a sample
  kServed,  // the duration is a sample
  kFailed   // a sample that counts as slow
};

// Next step of a request that has no final answer yet. Writes to the origin are sent again whenever
// the request's idempotency allows it, unless the step is kRejectOrFail.
enum class NextStep {
  kAnswered,         // none: the request has its answer
  kFetch,            // fetch the key from the origin
  kRejectOrFail,     // no further attempt
  kRetry,            // retry at a cache; not at the origin
  kRetryOrRefetch,   // retry at a cache; at the origin within the retry budget
  kResendUnbudgeted  // send again without using the retry budget: no host has done any work
};

struct OutcomeRule {
  AttemptState state;
  HostSignal host;
  ZoneSignal zone;
  OriginSignal origin;
  NextStep next;
};

const OutcomeRule& outcome_rule(Result result);

// Returns whether the request was provably not executed. False for a miss, which was executed.
inline bool never_ran(Result result) {
  return outcome_rule(result).state == AttemptState::kNeverRan;
}

}  // namespace balancer

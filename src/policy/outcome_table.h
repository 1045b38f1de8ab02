#pragma once

#include "policy/request.h"
#include "policy/request_state.h"

// What the outcome of an attempt says: whether the request may have been executed, what it tells of
// the host, its zone or the origin, and what the request does next.
namespace balancer {

// What an outcome tells of the cache host.
enum class HostSignal {
  kNone,
  kInTime,      // an answer in time
  kOverloaded,  // counts as a slow answer: load
  kError,       // some in a row eject the host
  kFailure      // ejects the host
};

// What it tells of the cache host's zone.
enum class ZoneSignal { kNone, kReachable, kUnreachable };

// What it tells of the origin, where that was asked.
enum class OriginSignal {
  kNone,    // the time it took says nothing
  kServed,  // a sample of the time that a fetch takes
  kFailed   // a sample that counts as a slow one
};

// What a request without its final answer does next. Writes to the origin are sent again wherever
// the request's idempotency allows it, unless the step is kRejectOrFail.
enum class NextStep {
  kAnswered,       // nothing: it has its answer
  kFetch,          // fetch the key from the origin
  kRejectOrFail,   // no further attempt
  kRetry,          // retry at a cache; not at the origin
  kRetryFetchToo,  // retry at a cache; at the origin within the retry budget
  kSendElsewhere   // send again, at no cost to the retry budget: no host has done any work
};

struct OutcomeRule {
  AttemptState state;
  HostSignal host;
  ZoneSignal zone;
  OriginSignal origin;
  NextStep next;
};

const OutcomeRule& outcome_rule(Result result);

// The request was not executed, and that is proven. A miss does not count: it did run.
inline bool never_ran(Result result) {
  return outcome_rule(result).state == AttemptState::kNeverRan;
}

}  // namespace balancer

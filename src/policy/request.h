#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "structures/time.h"

// What the policy is told of requests and their attempts.
namespace balancer {

using RequestId = std::uint64_t;

// Whether a second execution of a request does harm.
enum class Idempotency {
  kIdempotent,      // never
  kIdempotencyKey,  // not where a host remembers the first one by its key
  kNone             // always
};

// The hosts that discard repeats of a request with an idempotency key.
enum class DeduplicationScope { kAll, kZone, kCell };

struct RequestClass {
  Duration latency_objective{0};  // an answer has its full value until then
  Duration deadline{0};           // the client's time for all its attempts
  Idempotency idempotency = Idempotency::kNone;
  DeduplicationScope scope = DeduplicationScope::kAll;
  Duration deduplication_window{0};  // how long repeats of a keyed request are discarded
};

struct Request {
  RequestId id = 0;
  int request_class = 0;  // index into Settings::classes
  int tenant = 0;         // index into Settings::tenant_quotas; outside of it: no quota
  std::optional<std::string_view> key;
  bool write = false;
  std::optional<Duration> work;  // time on an idle host, a rough hint
  Duration time_left{0};         // until the client abandons this request
};

// How an attempt ended. outcome_table.h says what follows from each.
enum class Result {
  kOk,
  kError,          // an answer that reports a failure, or that cannot be read
  kRejected,       // the host answered that it takes no more
  kTimeout,        // no answer in the attempt's time
  kConnectFailed,  // not written whole: no connection in time, or it broke before
  kReset,          // the connection ended before the answer was complete
  kCancelled,      // reported by the simulator only
  kNotSent,        // ended by this balancer before it was sent
  kMiss,           // the cache does not hold the key
  kRedirected,     // a complete answer that names another host, and proves that nothing ran
  kWithdrawn       // before its first byte, as the host takes nothing new by now, or is another
};

// The end of one attempt.
struct Outcome {
  RequestId id = 0;
  int attempt = 0;  // counts from 0 in the order of the request's sends
  Result result = Result::kOk;
  bool finished = false;  // the request has had its final answer
};

}  // namespace balancer

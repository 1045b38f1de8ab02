#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "structures/time.h"

// Descriptions of requests and of the outcomes of their attempts, as the policy receives them.
namespace balancer {

using RequestId = std::uint64_t;

// Whether a request may safely be executed twice.
enum class Idempotency {
  kIdempotent,      // always
  kIdempotencyKey,  // only on hosts that recognize the repetition by its idempotency key
  kNone             // never
};

// The set of hosts that discard repetitions of a request with an idempotency key.
enum class DeduplicationScope { kAll, kZone, kCell };

struct RequestClass {
  Duration latency_objective{0};  // answers within this time have their full value
  Duration deadline{0};           // time that the client allows for all its attempts
  Idempotency idempotency = Idempotency::kNone;
  DeduplicationScope scope = DeduplicationScope::kAll;
  Duration deduplication_window{0};  // how long repetitions of a keyed request are discarded
};

struct Request {
  RequestId id = 0;
  int request_class = 0;  // index into Settings::classes
  int tenant = 0;         // index into Settings::tenant_quotas; no quota if out of range
  std::optional<std::string_view> key;
  bool is_write = false;
  std::optional<Duration> work;  // execution time on an idle host, an approximate hint
  Duration time_left{0};         // until the client abandons this request
  // The client has clearly more requests in flight than others have on average.
  bool exceeds_client_share = false;
};

// How an attempt ended. outcome_table.h defines the consequences of each result.
enum class Result {
  kOk,
  kError,          // the answer reports a failure or cannot be parsed
  kRejected,       // the host answered that it is overloaded
  kTimeout,        // no answer before the end of the attempt
  kConnectFailed,  // not completely written: no connection in time, or it broke before
  kReset,          // the connection ended before the answer was complete
  kCancelled,      // reported by the simulator only
  kNotSent,        // ended by this balancer before it was sent
  kMiss,           // the cache does not hold the key
  kRedirected,     // a complete answer that names another host and proves that nothing was executed
  kWithdrawn       // never sent: the host accepts no new attempts or was replaced
};

// The end of one attempt.
struct Outcome {
  RequestId id = 0;
  int attempt = 0;  // number of the attempt, from 0 in sending order
  Result result = Result::kOk;
  bool finished = false;  // the request has received its final answer
  // The request is a read, and a later write of its client to the same data may have been executed.
  bool is_overtaken = false;
};

}  // namespace balancer

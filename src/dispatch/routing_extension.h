#pragma once

#include <string>

#include "net/attempt.h"
#include "net/request.h"
#include "policy/policy.h"

namespace balancer {

// Extends a server pool whose servers redirect requests to each other, as RESP cluster nodes do:
// chooses the hosts of a key, prepares attempts and interprets their results. Outlives the pool.
// Called from the event loop only.
class RoutingExtension {
 public:
  virtual ~RoutingExtension() = default;
  // Returns the mapping from keys to hosts, which outlives the pool.
  virtual Placement& placement() = 0;
  // A request was submitted; called before the policy routes it.
  virtual void on_request(RequestId id, const RequestPayload& payload) = 0;
  // The request has been answered or withdrawn, and none of its attempts is in flight.
  virtual void on_request_erased(RequestId id) = 0;
  // Sets the attempt's redirection flags (`asking`, `reads_from_replica`) before it is sent.
  virtual void prepare_attempt(Attempt& attempt) = 0;
  // Returns the result to report to the policy in place of `result`. `value` is the server's reply.
  virtual Result interpret_result(const Attempt& attempt, Result result,
                                  const std::string& value) = 0;
};

}  // namespace balancer

#pragma once

#include <string>

#include "net/attempt.h"
#include "net/request.h"
#include "policy/policy.h"

namespace balancer {

// State that a server pool keeps beside its policy where servers redirect requests to each other,
// as RESP cluster nodes do. Called from the event loop only.
class RoutingExtension {
 public:
  virtual ~RoutingExtension() = default;
  // Which hosts serve a key. Outlives the pool.
  virtual Placement& placement() = 0;
  virtual void on_request(RequestId id, const RequestPayload& payload) = 0;
  // The request has its answer, and no attempt of it is in flight.
  virtual void on_forgotten(RequestId id) = 0;
  // Sets what the host must be told with the attempt, before it goes out.
  virtual void prepare(Attempt& attempt) = 0;
  // Returns what the result means to the policy; `value` is what came with it.
  virtual Result interpret(const Attempt& attempt, Result result, const std::string& value) = 0;
};

}  // namespace balancer

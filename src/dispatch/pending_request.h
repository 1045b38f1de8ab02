#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "net/request.h"
#include "structures/time.h"

namespace balancer {

// A request that has no answer yet, or attempts in flight.
struct PendingRequest {
  std::shared_ptr<ResponseSink> sink;  // none once finished
  ResponseSlot slot;
  std::size_t sink_index = 0;  // in the sink's list of open requests
  RequestPayloadPtr payload;
  int request_class = 0;  // index into the pool's classes
  bool non_idempotent = false;
  bool finished = false;  // has had its answer, or its client has gone
  int attempts = 0;       // started so far
  int attempts_in_flight = 0;
  // Of a class with idempotency keys: since when one of its attempts may have run.
  std::optional<Time> may_run_since;
  bool may_have_run = false;  // one of the attempts that have ended
  // When its client was last known to be connected.
  mutable Time connected_at{0};
};

}  // namespace balancer

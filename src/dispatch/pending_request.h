#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "net/limits.h"
#include "net/request.h"
#include "structures/time.h"

namespace balancer {

// A request that has not been answered yet or still has attempts in flight. Owned by ServerPool.
struct PendingRequest {
  std::shared_ptr<ResponseSink> sink;  // null once finished
  ResponseSlot slot;
  std::size_t sink_index = 0;  // index in the sink's list of open requests
  RequestPayloadPtr payload;
  Reservation memory;     // of the request's state, its payload and its attempts
  int request_class = 0;  // index into the pool's classes
  bool non_idempotent = false;
  bool is_write = false;
  bool finished = false;  // answered, or withdrawn as its client has disconnected
  int attempts = 0;       // number started
  int attempts_in_flight = 0;
  // Start of the deduplication window: the first time at which an attempt may have run. Only set
  // for request classes with idempotency keys.
  std::optional<Time> may_run_since;
  bool may_have_run = false;  // whether any of the attempts that have ended may have run
  // When the client was last known to be connected.
  mutable Time connected_at{0};
};

}  // namespace balancer

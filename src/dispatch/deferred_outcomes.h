#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "net/attempt.h"
#include "net/request_order.h"

namespace balancer {

// The outcome of an attempt after which its request may be sent again.
struct DeferredOutcome {
  AttemptPtr attempt;
  Result result;
  bool is_write;
};

// Holds back outcomes until it is known whether the requests may be sent again. If a later write of
// the client to the same group is in flight, a read waits until that write has ended: it is then
// either overtaken, or both are sent again in their order. Outcomes of requests behind one that is
// held back wait for it. All attempts here have a payload with an order. Used from the event loop.
class DeferredOutcomes {
 public:
  // Returns whether the outcome has to be held back.
  bool must_wait(const Attempt& attempt, bool is_write) const;
  // Holds the outcome back until take_ready() returns it.
  void add(DeferredOutcome outcome);
  // Removes and returns the outcomes of the group that need not wait any longer, in the order of
  // their requests. Called when a write of the group has ended.
  std::vector<DeferredOutcome> take_ready(const RequestOrder& order);

 private:
  std::unordered_map<const RequestOrder*, std::deque<DeferredOutcome>> by_group_;
};

}  // namespace balancer

#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "membership/messages.h"

namespace balancer::membership {

// Updates that are piggybacked on outgoing messages, each a bounded number of times; at most one
// for each member, the newest.
class GossipQueue {
 public:
  // The queue is bounded: where it is full the update that was sent most often is dropped.
  void push(const MemberUpdate& update);

  // At most `max_updates` updates, those that were sent least first. `first`, if not null, takes
  // the place of a queued update of the same member, comes first, and is not counted as sent.
  // Updates that have been sent `max_transmits` times leave the queue.
  std::vector<MemberUpdate> take(std::size_t max_updates, int max_transmits,
                                 const MemberUpdate* first);

 private:
  struct QueuedUpdate {
    MemberUpdate update;
    int transmits = 0;
  };
  std::deque<QueuedUpdate> updates_;
};

}  // namespace balancer::membership

#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "membership/messages.h"

namespace balancer::membership {

// A bounded queue of updates that are piggybacked on outgoing messages, each a limited number of
// times. Holds at most one update of each member, the newest.
class GossipQueue {
 public:
  // Adds an update, in place of a queued one of the same member. If the queue is full, the update
  // that was sent most often is dropped.
  void push(const MemberUpdate& update);

  // Returns at most `max_updates` updates, those that were sent least first. `first`, if not null,
  // takes the place of a queued update of the same member, is returned first, and is not counted as
  // sent. Updates that have been sent `max_transmits` times are removed from the queue.
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

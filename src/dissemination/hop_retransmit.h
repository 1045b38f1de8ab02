#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "dissemination/messages.h"
#include "dissemination/relay_tree.h"
#include "structures/time.h"

namespace balancer::dissemination {

// Retransmits batches that the relay of a region or site has not acknowledged. A batch that is lost
// on the way to a relay is missing at all members below it, and each of them would request it. The
// last retransmission goes to the standby. (A batch that is lost on the last hop is missing at one
// member only, which requests it.)
class HopRetransmit {
 public:
  // `interval`: time until an unacknowledged batch is sent again; must exceed a round trip.
  explicit HopRetransmit(Duration interval) : interval_(interval) {}

  void sent(Time now, const Relays& relays, const Batch& batch);
  void on_ack(const MemberId& from, const Ack& ack);
  void clear() { unacked_.clear(); }

  struct Resend {
    MemberId to;
    Batch batch;
  };
  std::vector<Resend> due(Time now);
  Time next() const { return unacked_.empty() ? Time::max() : unacked_.front().due; }

 private:
  static constexpr std::size_t kMaxUnacked = 1024;  // older batches are not retransmitted any more
  static constexpr int kMaxSends = 3;

  struct Unacked {
    Relays relays;
    Batch batch;
    int sends = 1;
    Time due{0};
  };

  const Duration interval_;
  std::deque<Unacked> unacked_;  // ordered by due time, since all batches have the same interval
};

}  // namespace balancer::dissemination

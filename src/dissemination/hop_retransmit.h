#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "dissemination/messages.h"
#include "dissemination/relay_tree.h"
#include "structures/time.h"

namespace balancer::dissemination {

// Batches that were sent to the relay of a region or site and not acknowledged yet. One lost there
// is missing at all members below, who would each ask for it; so it is sent again, at last to the
// standby. (What is lost on the last hop, its one receiver asks for.)
class HopRetransmit {
 public:
  // `interval`: until a batch is sent again; more than a round trip.
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
  static constexpr std::size_t kMaxUnacked = 1024;  // older ones are given up
  static constexpr int kMaxSends = 3;

  struct Unacked {
    Relays relays;
    Batch batch;
    int sends = 1;
    Time due{0};
  };

  const Duration interval_;
  std::deque<Unacked> unacked_;  // by time due: the interval is the same for all
};

}  // namespace balancer::dissemination

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "dissemination/messages.h"
#include "structures/time.h"

namespace balancer::dissemination {

struct SendLimits {
  double bytes_per_second = 5000;  // budget for sent and received bytes together
  double burst_bytes = 40000;      // budget that accumulates while there is little traffic
  // While bulk messages wait, one of them is sent at the latest after this many bytes of others.
  std::size_t max_urgent_run_bytes = 4096;
  std::size_t max_queued_bytes = 262144;  // per urgency
  // Older messages are dropped: their receivers have sent requests to other members in the
  // meantime.
  Duration max_age{std::chrono::seconds(2)}, max_bulk_age{std::chrono::seconds(10)};
};

// Queue of outgoing messages that keeps a member within its byte budget. The member's own small
// requests and reports are sent first, so that a member that is behind can catch up; then urgent
// messages. Bulk messages have a guaranteed share. Received bytes count against the same budget;
// they can't be refused, so they delay outgoing messages. A message that the queue has no room for,
// or that has waited too long, is dropped and counted: its receiver detects the gap and requests
// it.
class SendQueue {
 public:
  SendQueue(const SendLimits& limits, Time now)
      : limits_(limits), tokens_(limits.burst_bytes), at_(now) {}

  enum class Urgency : std::uint8_t { kRequest, kUrgent, kBulk };
  struct Item {
    MemberId to;
    Message message;
    std::size_t bytes = 0;
    Time since{0};
  };

  void push(Time now, Urgency urgency, MemberId to, Message message);
  void on_received(Time now, std::size_t bytes);
  // Removes and returns the next message that may be sent now.
  std::optional<Item> pop(Time now);
  // Returns when pop() will return a message; Time::max() if the queue is empty.
  Time next(Time now) const;
  // Returns the bytes that could be sent immediately.
  double available(Time now) const { return tokens_at(now); }
  // Returns when `bytes` (capped at the burst) could be sent if nothing else is sent before.
  Time when_available(Time now, double bytes) const;
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Waiting {
    std::deque<Item> items;
    std::size_t bytes = 0;
  };
  double tokens_at(Time now) const;
  void settle(Time now);
  // Returns the urgency of the next message, as an index; the number of urgencies if none waits.
  std::size_t next_kind() const;
  void drop_old(Time now);

  const SendLimits limits_;
  std::array<Waiting, 3> waiting_;  // by urgency
  double tokens_;                   // negative if more was received than the budget allows
  Time at_;
  std::size_t urgent_run_ = 0;  // bytes of other messages sent since the last bulk message
  std::uint64_t dropped_ = 0;
};

}  // namespace balancer::dissemination

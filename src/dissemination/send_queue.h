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
  double bytes_per_second = 5000;  // sent and received together
  double burst_bytes = 40000;      // saved up while little is said
  // While bulk waits, it gets one message for so many bytes of urgent ones at the latest.
  std::size_t max_urgent_run_bytes = 4096;
  std::size_t max_queued_bytes = 262144;  // of each kind
  // Older messages aren't sent any more: whom they were for has asked others meanwhile.
  Duration max_age{std::chrono::seconds(2)}, max_bulk_age{std::chrono::seconds(10)};
};

// What waits to be sent within a member's byte budget: own small requests and reports first, so
// that one that is late can catch up; then urgent messages; and bulk with a share that it can't
// lose. Received bytes count against the same budget; they can't be refused, so they delay what is
// sent. A message for which the queue has no room, or that has waited too long, is dropped and
// counted: its receiver finds the gap and asks.
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
  // The next message that may go now.
  std::optional<Item> pop(Time now);
  // When pop() has something; Time::max() if nothing waits.
  Time next(Time now) const;
  // The bytes that could be sent at once.
  double available(Time now) const { return tokens_at(now); }
  // When so many bytes could be sent, if nothing else is; at most the burst.
  Time when_available(Time now, double bytes) const;
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Waiting {
    std::deque<Item> items;
    std::size_t bytes = 0;
  };
  double tokens_at(Time now) const;
  void settle(Time now);
  // The kind of the next message; the number of kinds if nothing waits.
  std::size_t next_kind() const;
  void drop_old(Time now);

  const SendLimits limits_;
  std::array<Waiting, 3> waiting_;  // by urgency
  double tokens_;                   // below 0 if more was received than the budget has
  Time at_;
  std::size_t urgent_run_ = 0;  // bytes of urgent messages since the last bulk one
  std::uint64_t dropped_ = 0;
};

}  // namespace balancer::dissemination

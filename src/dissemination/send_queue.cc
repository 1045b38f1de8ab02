#include "dissemination/send_queue.h"

#include <algorithm>
#include <utility>

namespace silverpin::dissemination {

void SendQueue::push(Urgency urgency, MemberId to, Message message) {
  Waiting& waiting = urgency == Urgency::kUrgent ? urgent_ : bulk_;
  const std::size_t bytes = wire_size(message);
  if (waiting.bytes + bytes > limits_.max_queued_bytes) {
    ++dropped_;
    return;
  }
  waiting.bytes += bytes;
  waiting.items.push_back({std::move(to), std::move(message), bytes});
}

void SendQueue::on_received(Time now, std::size_t bytes) {
  settle(now);
  // Never further below zero than one burst: a flood delays what is sent by a bounded time.
  tokens_ = std::max(tokens_ - static_cast<double>(bytes), -limits_.burst_bytes);
}

std::optional<SendQueue::Item> SendQueue::pop(Time now) {
  settle(now);
  // Any message may go once there is something left, and the rest is owed: a message larger than
  // the burst would never go otherwise.
  if (tokens_ <= 0 || (urgent_.items.empty() && bulk_.items.empty())) return std::nullopt;
  const bool takes_bulk = bulk_is_due();
  Waiting& waiting = takes_bulk ? bulk_ : urgent_;
  Item item = std::move(waiting.items.front());
  waiting.items.pop_front();
  waiting.bytes -= item.bytes;
  tokens_ -= static_cast<double>(item.bytes);
  urgent_run_ = takes_bulk || bulk_.items.empty() ? 0 : urgent_run_ + item.bytes;
  return item;
}

bool SendQueue::bulk_is_due() const {
  if (bulk_.items.empty()) return false;
  return urgent_.items.empty() || urgent_run_ >= limits_.max_urgent_run_bytes;
}

Time SendQueue::next(Time now) const {
  if (urgent_.items.empty() && bulk_.items.empty()) return Time::max();
  return when_available(now, 1);
}

Time SendQueue::when_available(Time now, double bytes) const {
  const double missing = std::min(bytes, limits_.burst_bytes) - tokens_at(now);
  if (missing <= 0) return now;
  return now + from_seconds(missing / limits_.bytes_per_second) + Duration{1};
}

double SendQueue::tokens_at(Time now) const {
  const double earned = seconds(std::max(now - at_, Duration{0})) * limits_.bytes_per_second;
  return std::min(tokens_ + earned, limits_.burst_bytes);
}

void SendQueue::settle(Time now) {
  tokens_ = tokens_at(now);
  at_ = std::max(at_, now);
}

}  // namespace silverpin::dissemination

#include "dissemination/send_queue.h"

#include <algorithm>
#include <utility>

namespace balancer::dissemination {
namespace {

constexpr auto kBulk = static_cast<std::size_t>(SendQueue::Urgency::kBulk);

}  // namespace

void SendQueue::push(Time now, Urgency urgency, MemberId to, Message message) {
  Waiting& waiting = waiting_[static_cast<std::size_t>(urgency)];
  const std::size_t bytes = wire_size(message);
  if (waiting.bytes + bytes > limits_.max_queued_bytes) {
    ++dropped_;
    return;
  }
  waiting.bytes += bytes;
  waiting.items.push_back({std::move(to), std::move(message), bytes, now});
}

void SendQueue::on_received(Time now, std::size_t bytes) {
  settle(now);
  // The balance never drops below minus one burst, so that a flood of received bytes delays
  // outgoing messages only for a bounded time.
  tokens_ = std::max(tokens_ - static_cast<double>(bytes), -limits_.burst_bytes);
}

std::optional<SendQueue::Item> SendQueue::pop(Time now) {
  settle(now);
  drop_old(now);
  const std::size_t kind = next_kind();
  // A message may be sent as soon as the balance is positive, and the balance may become negative:
  // otherwise a message larger than the burst would never be sent.
  if (tokens_ <= 0 || kind == waiting_.size()) return std::nullopt;
  Waiting& waiting = waiting_[kind];
  Item item = std::move(waiting.items.front());
  waiting.items.pop_front();
  waiting.bytes -= item.bytes;
  tokens_ -= static_cast<double>(item.bytes);
  const bool no_bulk_waits = kind == kBulk || waiting_[kBulk].items.empty();
  urgent_run_ = no_bulk_waits ? 0 : urgent_run_ + item.bytes;
  return item;
}

std::size_t SendQueue::next_kind() const {
  const bool is_bulk_due =
      !waiting_[kBulk].items.empty() && urgent_run_ >= limits_.max_urgent_run_bytes;
  if (is_bulk_due) return kBulk;
  std::size_t kind = 0;
  while (kind < waiting_.size() && waiting_[kind].items.empty()) ++kind;
  return kind;
}

void SendQueue::drop_old(Time now) {
  for (std::size_t kind = 0; kind < waiting_.size(); ++kind) {
    Waiting& waiting = waiting_[kind];
    const Duration max_age = kind == kBulk ? limits_.max_bulk_age : limits_.max_age;
    while (!waiting.items.empty() && now - waiting.items.front().since > max_age) {
      waiting.bytes -= waiting.items.front().bytes;
      waiting.items.pop_front();
      ++dropped_;
    }
  }
}

Time SendQueue::next(Time now) const {
  return next_kind() == waiting_.size() ? Time::max() : when_available(now, 1);
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

}  // namespace balancer::dissemination

#include "dispatch/deferred_outcomes.h"

#include <algorithm>
#include <utility>

namespace balancer {
namespace {

bool awaits_later_write(const Attempt& attempt, bool is_write) {
  const RequestPayload& payload = *attempt.payload;
  return !is_write && payload.order->awaits_later_write(payload.order_position);
}

bool precedes(const DeferredOutcome& outcome, RequestOrder::Position position) {
  return outcome.attempt->payload->order_position < position;
}

}  // namespace

bool DeferredOutcomes::must_wait(const Attempt& attempt, bool is_write) const {
  if (awaits_later_write(attempt, is_write)) return true;
  const auto group = by_group_.find(attempt.payload->order.get());
  return group != by_group_.end() &&
         precedes(group->second.front(), attempt.payload->order_position);
}

void DeferredOutcomes::add(DeferredOutcome outcome) {
  const RequestPayload& payload = *outcome.attempt->payload;
  std::deque<DeferredOutcome>& group = by_group_[payload.order.get()];
  const auto at = std::find_if(group.begin(), group.end(), [&payload](const auto& held) {
    return !precedes(held, payload.order_position);
  });
  group.insert(at, std::move(outcome));
}

std::vector<DeferredOutcome> DeferredOutcomes::take_ready(const RequestOrder& order) {
  std::vector<DeferredOutcome> ready;
  const auto at = by_group_.find(&order);
  if (at == by_group_.end()) return ready;
  std::deque<DeferredOutcome>& group = at->second;
  while (!group.empty() && !awaits_later_write(*group.front().attempt, group.front().is_write)) {
    ready.push_back(std::move(group.front()));
    group.pop_front();
  }
  if (group.empty()) by_group_.erase(at);
  return ready;
}

}  // namespace balancer

#include "net/request_order.h"

#include <algorithm>

namespace balancer {

void RequestOrder::on_write_ended(Position write, bool may_have_run) {
  const auto at = std::find(in_flight_.begin(), in_flight_.end(), write);
  if (at == in_flight_.end()) return;  // the attempt ended before it began to be written
  in_flight_.erase(at);
  if (may_have_run) last_executed_ = std::max(last_executed_, write);
}

bool RequestOrder::awaits_later_write(Position position) const {
  return std::any_of(in_flight_.begin(), in_flight_.end(),
                     [position](Position write) { return write > position; });
}

}  // namespace balancer

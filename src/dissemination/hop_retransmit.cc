#include "dissemination/hop_retransmit.h"

#include <utility>

namespace balancer::dissemination {

void HopRetransmit::sent(Time now, const Relays& relays, const Batch& batch) {
  if (batch.entries.empty()) return;  // a lost heartbeat is replaced by the next heartbeat
  unacked_.push_back({relays, batch, 1, now + interval_});
  if (unacked_.size() > kMaxUnacked) unacked_.pop_front();
}

void HopRetransmit::on_ack(const MemberId& from, const Ack& ack) {
  std::erase_if(unacked_, [&](const Unacked& unacked) {
    return unacked.batch.channel == ack.channel &&
           unacked.batch.entries.back()->sequence == ack.last && unacked.relays.includes(from);
  });
}

std::vector<HopRetransmit::Resend> HopRetransmit::due(Time now) {
  std::vector<Resend> resends;
  while (!unacked_.empty() && unacked_.front().due <= now) {
    Unacked unacked = std::move(unacked_.front());
    unacked_.pop_front();
    const bool is_last = ++unacked.sends >= kMaxSends;
    const Relays& relays = unacked.relays;
    const MemberId& to = is_last && !relays.standby.empty() ? relays.standby : relays.relay;
    resends.push_back({to, unacked.batch});
    if (is_last) continue;
    unacked.due = now + interval_;
    unacked_.push_back(std::move(unacked));
  }
  return resends;
}

}  // namespace balancer::dissemination

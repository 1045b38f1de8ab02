#include "dissemination/source.h"

#include <algorithm>

#include "dissemination/range_repair.h"

namespace balancer::dissemination {
namespace {

using Urgency = SendQueue::Urgency;

Urgency urgency_of(Channel channel) {
  return channel == Channel::kPurge ? Urgency::kUrgent : Urgency::kBulk;
}

Sequence last_of(const std::vector<EntryPtr>& entries) {
  return entries.empty() ? 0 : entries.back()->sequence;
}
Sequence before_first_of(const std::vector<EntryPtr>& entries) {
  return entries.empty() ? 0 : entries.front()->sequence - 1;
}

}  // namespace

Source::Source(const SourceSettings& settings, std::shared_ptr<const RelayTree> tree,
               const History& history, Time now)
    : settings_(settings),
      tree_(std::move(tree)),
      logs_{ChangeLog(settings.max_log_entries[0], before_first_of(history.entries[0])),
            ChangeLog(settings.max_log_entries[1], before_first_of(history.entries[1]))},
      queue_(settings.limits, now),
      hops_(settings.retransmit),
      last_batch_(now - settings.heartbeat) {
  state_.term = settings.term;
  for (const Channel channel : kChannels) {
    const auto& entries = history.entries[index(channel)];
    for (const auto& entry : entries) {
      logs_[index(channel)].append(entry);
      if (channel == Channel::kConfiguration) configuration_.put(entry);
    }
    state_.starts[index(channel)] = state_.heads[index(channel)] = last_of(entries);
    pacing_[index(channel)] = {settings.burst_bytes[index(channel)], now, Time::max()};
  }
}

Sequence Source::append(Time now, Channel channel, std::string key, std::string value) {
  ChangeLog& log = logs_[index(channel)];
  const Sequence unsent = log.last() - state_.heads[index(channel)];
  if (superseded_ ||
      unsent >= std::min(settings_.max_unsent, settings_.max_log_entries[index(channel)]))
    return 0;
  auto entry = std::make_shared<Entry>(Entry{log.last() + 1, std::move(key), std::move(value)});
  log.append(entry);
  Pacing& pacing = pacing_[index(channel)];
  if (pacing.due == Time::max()) pacing.due = now + settings_.max_delay[index(channel)];
  return log.last();
}

void Source::on_message(Time now, const MemberId& from, const Message& message, std::size_t bytes) {
  queue_.on_received(now, bytes);
  if (const auto* request = std::get_if<RangeRequest>(&message)) answer(now, from, *request);
  if (const auto* request = std::get_if<SnapshotRequest>(&message)) answer(now, from, *request);
  if (const auto* ack = std::get_if<Ack>(&message); ack && ack->term == state_.term)
    hops_.on_ack(from, *ack);
  if (const auto* report = std::get_if<Report>(&message)) on_report(*report);
}

void Source::on_report(const Report& report) {
  observe_term(report.term);
  if (!tree_->members(report.from).empty()) watermark_.on_report(report);
}

void Source::answer(Time now, const MemberId& from, const RangeRequest& request) {
  observe_term(request.term);
  if (auto batch = answer_range(logs_[index(request.channel)], state_, request))
    queue_.push(now, Urgency::kBulk, from, std::move(*batch));
}

void Source::answer(Time now, const MemberId& from, const SnapshotRequest& request) {
  observe_term(request.term);
  if (request.term > state_.term) return;
  SnapshotPiece piece;
  piece.source = state_;
  piece.after = request.after;
  if (request.term == state_.term) {
    const std::size_t room = kMaxMessageBytes - wire_size(Message(piece)) + kDatagramOverhead;
    auto read =
        configuration_.read(request.after, state_.heads[index(Channel::kConfiguration)], room);
    piece.entries = std::move(read.entries);
    piece.through = read.through;
    piece.complete = read.complete;
  }
  queue_.push(now, Urgency::kBulk, from, std::move(piece));
}

void Source::set_tree(std::shared_ptr<const RelayTree> tree) {
  tree_ = std::move(tree);
  watermark_.keep_only(tree_->sites());
}

void Source::on_timer(Time now) {
  if (superseded_) return;
  for (auto& resend : hops_.due(now)) {
    const Urgency urgency = urgency_of(resend.batch.channel);
    queue_.push(now, urgency, std::move(resend.to), std::move(resend.batch));
  }
  for (const Channel channel : kChannels) send_due(now, channel);
  if (now - last_batch_ >= settings_.heartbeat) send_batch(now, Channel::kPurge, {});
}

void Source::send_due(Time now, Channel channel) {
  const std::size_t c = index(channel);
  Pacing& pacing = pacing_[c];
  if (now < pacing.due) return;
  const double rate = settings_.bytes_per_second[c];
  pacing.tokens =
      std::min(pacing.tokens + seconds(now - pacing.at) * rate, settings_.burst_bytes[c]);
  pacing.at = now;
  while (state_.heads[c] < logs_[c].last() && pacing.tokens > 0) {
    Batch frame;
    const std::size_t room = kMaxMessageBytes - wire_size(Message(frame)) + kDatagramOverhead;
    auto entries = logs_[c].range(state_.heads[c] + 1, logs_[c].last(), room);
    for (const auto& entry : entries) pacing.tokens -= static_cast<double>(wire_size(*entry));
    send_batch(now, channel, std::move(entries));
  }
  if (state_.heads[c] == logs_[c].last())
    pacing.due = Time::max();
  else
    pacing.due = now + from_seconds((1 - pacing.tokens) / rate);
}

void Source::send_batch(Time now, Channel channel, std::vector<EntryPtr> entries) {
  if (!entries.empty()) state_.heads[index(channel)] = entries.back()->sequence;
  if (channel == Channel::kConfiguration)
    for (const auto& entry : entries) configuration_.put(entry);
  Batch batch;
  batch.source = state_;
  batch.channel = channel;
  batch.forward = Forward::kRegion;
  batch.stripe = next_stripe_;
  batch.entries = std::move(entries);
  for (const auto& region : tree_->regions()) {
    const Relays& relays = tree_->region_relays(region, next_stripe_);
    if (relays.relay.empty()) continue;
    queue_.push(now, urgency_of(channel), relays.relay, batch);
    hops_.sent(now, relays, batch);
  }
  next_stripe_ = (next_stripe_ + 1) % tree_->stripes();
  last_batch_ = now;
}

Time Source::next(Time now) const {
  if (superseded_) return queue_.next(now);
  const Time heartbeat = last_batch_ + settings_.heartbeat;
  return std::min({pacing_[0].due, pacing_[1].due, heartbeat, hops_.next(), queue_.next(now)});
}

std::vector<SendQueue::Item> Source::take_sends(Time now) {
  std::vector<SendQueue::Item> items;
  while (auto item = queue_.pop(now)) items.push_back(std::move(*item));
  return items;
}

InForce Source::in_force(Channel channel, Sequence sequence) const {
  return in_force_at(tree_->sites(), channel, sequence);
}

InForce Source::in_force_in_region(const std::string& region, Channel channel,
                                   Sequence sequence) const {
  return in_force_at(tree_->sites(region), channel, sequence);
}

InForce Source::in_force_at_site(const std::string& site, Channel channel,
                                 Sequence sequence) const {
  return in_force_at({site}, channel, sequence);
}

InForce Source::in_force_at(const std::vector<std::string>& sites, Channel channel,
                            Sequence sequence) const {
  const std::size_t c = index(channel);
  const Report merged = watermark_.merge(settings_.id, state_.term, sites);
  InForce answer;
  answer.least = merged.in_force[c];
  answer.everywhere = sequence <= answer.least;
  for (const auto& laggard : merged.laggards[c])
    if (laggard.sequence < sequence) answer.lacking.push_back(laggard);
  return answer;
}

}  // namespace balancer::dissemination

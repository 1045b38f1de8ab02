#include "dissemination/replica.h"

#include <algorithm>

#include "dissemination/range_repair.h"
#include "structures/stable_hash.h"

namespace balancer::dissemination {
namespace {

using Urgency = SendQueue::Urgency;

constexpr std::size_t kMaxForwardedKept = 64;
// The relay of this stripe collects the reports of its site.
constexpr std::uint32_t kReportStripe = 0;

Urgency urgency_of(const Batch& batch) {
  const bool is_repair = batch.oldest > 0;
  return batch.channel == Channel::kPurge && !is_repair ? Urgency::kUrgent : Urgency::kBulk;
}

}  // namespace

Replica::Replica(const ReplicaSettings& settings, std::shared_ptr<const RelayTree> tree,
                 const std::optional<Checkpoint>& checkpoint, ChangeSink& sink, Time now)
    : settings_(settings),
      tree_(std::move(tree)),
      sink_(sink),
      is_fresh_(!checkpoint || checkpoint->term == 0),
      last_push_at_(now),
      streams_{Stream{ChangeLog(settings.max_log_entries[0]), {}, Time::max(), 0},
               Stream{ChangeLog(settings.max_log_entries[1]), {}, Time::max(), 0}},
      queue_(settings.limits, now),
      hops_(settings.retransmit) {
  // Spreads the members' reports over the period.
  const auto phase = stable_hash(settings_.id) % settings_.report_period.count();
  report_at_ = now + Duration(static_cast<Duration::rep>(phase));
  if (is_fresh_) return;
  source_.term = checkpoint->term;
  source_.starts = source_.heads = checkpoint->sequences;
  for (const Channel channel : kChannels)
    stream(channel).log.reset(checkpoint->sequences[index(channel)]);
  if (checkpoint->needs_whole_configuration) begin_snapshot(now, true);
}

void Replica::set_tree(std::shared_ptr<const RelayTree> tree) {
  tree_ = std::move(tree);
  const MemberPlace* place = tree_->find(settings_.id);
  watermark_.keep_only(place ? tree_->members(place->site) : std::vector<MemberId>{});
}

// ---- received messages

void Replica::on_message(Time now, const MemberId& from, const Message& message,
                         std::size_t bytes) {
  queue_.on_received(now, bytes);
  if (const auto* batch = std::get_if<Batch>(&message)) on_batch(now, from, *batch);
  if (const auto* ack = std::get_if<Ack>(&message); ack && ack->term == source_.term)
    hops_.on_ack(from, *ack);
  if (const auto* request = std::get_if<RangeRequest>(&message)) answer(now, from, *request);
  if (const auto* piece = std::get_if<SnapshotPiece>(&message)) on_piece(now, *piece);
  if (const auto* report = std::get_if<Report>(&message)) on_report(*report);
}

bool Replica::accept_source(Time now, const SourceState& source) {
  if (source.term < source_.term || source.term == 0) return false;
  if (source.term > source_.term) adopt_term(now, source);
  for (const Channel channel : kChannels) {
    auto& head = source_.heads[index(channel)];
    head = std::max(head, source.heads[index(channel)]);
  }
  return true;
}

// The changes applied under the last term are a prefix of the new source's history if they end at
// or before the number where that source started, and if the new term directly follows the last
// one.
void Replica::adopt_term(Time now, const SourceState& source) {
  const bool is_next_term = !is_fresh_ && source.term == source_.term + 1;
  // Remains true if the last source was replaced before its whole configuration was received.
  const bool needs_whole = snapshot_ && snapshot_->whole;
  source_ = source;
  is_fresh_ = false;
  snapshot_.reset();
  for (auto& stream : streams_) {
    stream.pending.clear();  // the new source may have assigned these numbers to other changes
    stream.request_at = Time::max();
    stream.attempts = 0;
  }
  waiting_.clear();
  hops_.clear();
  Stream& purges = stream(Channel::kPurge);
  if (is_next_term)
    purges.log.truncate(source.starts[index(Channel::kPurge)]);  // a superfluous purge is harmless
  else
    skip_purges();
  Stream& configuration = stream(Channel::kConfiguration);
  if (!is_next_term || needs_whole ||
      configuration.log.last() > source.starts[index(Channel::kConfiguration)]) {
    configuration.log.reset(0);
    begin_snapshot(now, true);
  }
}

void Replica::on_batch(Time now, const MemberId& from, const Batch& batch) {
  if (!accept_source(now, batch.source)) return;
  const bool is_answer = batch.oldest > 0;
  if (!is_answer) last_push_at_ = now, has_received_push_ = true;
  forward(now, from, batch);
  Stream& to = stream(batch.channel);
  const Sequence before = to.log.last();
  for (const auto& entry : batch.entries) {
    if (entry->sequence <= to.log.last()) continue;
    if (to.pending.empty() && to.log.last() + 1 == entry->sequence && !snapshot_) {
      to.log.append(entry);
      sink_.apply(batch.channel, *entry);
    } else if (to.pending.size() < settings_.max_pending_entries) {
      to.pending.emplace(entry->sequence, entry);
    }
  }
  apply_ready(batch.channel);
  const bool has_advanced = to.log.last() > before;
  if (has_advanced) {
    to.attempts = 0;
    if (!waiting_.empty()) answer_waiting_requests(now, batch.channel);
  }
  // The source's log no longer contains the missing entries.
  if (is_answer && from == settings_.source && batch.oldest > to.log.last() + 1) {
    if (batch.channel == Channel::kPurge)
      skip_purges();
    else if (!snapshot_)
      begin_snapshot(now, false);
  }
  for (const Channel channel : kChannels)
    schedule_repair(now, channel, channel == batch.channel && is_answer && has_advanced);
}

void Replica::apply_ready(Channel channel) {
  if (channel == Channel::kConfiguration && snapshot_) return;
  Stream& from = stream(channel);
  auto it = from.pending.begin();
  for (; it != from.pending.end() && it->first <= from.log.last() + 1; ++it) {
    if (!from.log.append(it->second)) continue;  // it was already applied
    sink_.apply(channel, *it->second);
  }
  from.pending.erase(from.pending.begin(), it);
}

// ---- gaps

void Replica::schedule_repair(Time now, Channel channel, bool at_once) {
  Stream& of = stream(channel);
  if (!is_behind(channel) || (channel == Channel::kConfiguration && snapshot_)) {
    of.request_at = Time::max();
    of.attempts = 0;
    return;
  }
  if (at_once)
    of.request_at = now;
  else if (of.request_at == Time::max())
    of.request_at =
        now + (is_repair_relay(channel, of.log.last()) ? settings_.first_wait[index(channel)]
                                                       : settings_.wait[index(channel)]);
}

bool Replica::is_repair_relay(Channel channel, Sequence cursor) const {
  const MemberPlace* place = tree_->find(settings_.id);
  if (!place) return false;
  const auto stripe = repair_stripe(channel, cursor, tree_->stripes());
  return tree_->site_relays(place->site, stripe).includes(settings_.id) ||
         tree_->region_relays(place->region, stripe).includes(settings_.id);
}

std::vector<MemberId> Replica::repair_targets(Channel channel) const {
  const MemberId& source = settings_.source;
  const MemberPlace* place = tree_->find(settings_.id);
  if (!place) return {source};
  const Sequence cursor = stream(channel).log.last();
  const auto stripe = repair_stripe(channel, cursor, tree_->stripes());
  const Relays& site = tree_->site_relays(place->site, stripe);
  const Relays& region = tree_->region_relays(place->region, stripe);
  const auto& neighbours = tree_->members(place->site);
  const auto& neighbour = neighbours[mix(stable_hash(settings_.id), cursor) % neighbours.size()];
  std::vector<MemberId> targets;
  if (region.includes(settings_.id))
    targets = {neighbour, source};  // the entry may be missing at this member only
  else if (site.includes(settings_.id))
    targets = {neighbour, region.relay, region.standby, source};
  else
    targets = {site.relay, site.standby, neighbour, region.relay, region.standby, source};
  std::erase_if(targets, [&](const MemberId& id) { return id.empty() || id == settings_.id; });
  return targets;
}

void Replica::request_missing(Time now, Channel channel) {
  Stream& of = stream(channel);
  const Sequence cursor = of.log.last();
  if (head(channel) - cursor > settings_.max_replay[index(channel)]) {
    if (channel == Channel::kPurge)
      skip_purges();
    else
      begin_snapshot(now, false);
    return;
  }
  if (queue_.available(now) <= 0) {  // further requests would only wait in the queue
    of.request_at = queue_.when_available(now, 1);
    return;
  }
  const auto targets = repair_targets(channel);
  const MemberId& target = targets[static_cast<std::size_t>(of.attempts) % targets.size()];
  const Sequence last = of.pending.empty() ? head(channel) : of.pending.begin()->first - 1;
  queue_.push(now, Urgency::kRequest, target,
              RangeRequest{source_.term, channel, cursor + 1, last});
  const int round = std::min(of.attempts / static_cast<int>(targets.size()), 4);
  const Duration retry = target == settings_.source ? settings_.source_retry : settings_.retry;
  of.request_at = now + std::min(retry * (1 << round), settings_.max_retry);
  ++of.attempts;
}

void Replica::skip_purges() {
  Stream& purges = stream(Channel::kPurge);
  sink_.on_purges_skipped(purges.log.last(), head(Channel::kPurge));
  purges.log.reset(head(Channel::kPurge));
  purges.request_at = Time::max();
  purges.attempts = 0;
  apply_ready(Channel::kPurge);
}

void Replica::answer(Time now, const MemberId& from, const RangeRequest& request) {
  auto batch = answer_range(stream(request.channel).log, source_, request);
  if (!batch) return;
  const bool is_earlier_term = request.term < source_.term;
  if (is_earlier_term || !batch->entries.empty()) {
    queue_.push(now, Urgency::kBulk, from, std::move(*batch));
  } else if (request.first > stream(request.channel).log.last() &&
             is_repair_relay(request.channel, request.first - 1)) {
    waiting_.push_back({from, request, now});
    if (waiting_.size() > settings_.max_waiting_requests) waiting_.pop_front();
  }
}

void Replica::answer_waiting_requests(Time now, Channel channel) {
  while (!waiting_.empty() && now - waiting_.front().since > settings_.max_request_wait)
    waiting_.pop_front();
  const Sequence last = stream(channel).log.last();
  const auto is_ready = [&](const Waiting& waiting) {
    return waiting.request.channel == channel && waiting.request.first <= last;
  };
  for (const auto& waiting : waiting_)
    if (is_ready(waiting)) answer(now, waiting.from, waiting.request);
  std::erase_if(waiting_, is_ready);
}

// ---- snapshots

void Replica::begin_snapshot(Time now, bool whole) {
  snapshot_ = Snapshot{whole, whole ? 0 : stream(Channel::kConfiguration).log.last(), {}, 0, now};
  stream(Channel::kConfiguration).request_at = Time::max();
}

void Replica::request_snapshot_piece(Time now) {
  if (queue_.available(now) <= 0) {
    snapshot_->request_at = queue_.when_available(now, 1);
    return;
  }
  queue_.push(now, Urgency::kRequest, settings_.source,
              SnapshotRequest{source_.term, snapshot_->through});
  snapshot_->request_at = now + settings_.max_retry;
}

void Replica::on_piece(Time now, const SnapshotPiece& piece) {
  const Term term = source_.term;
  if (!accept_source(now, piece.source)) return;
  // A piece of a new term isn't part of the requested snapshot.
  if (term != source_.term || !snapshot_ || piece.after != snapshot_->through) return;
  for (const auto& entry : piece.entries) {
    snapshot_->bytes += wire_size(*entry);
    snapshot_->entries.push_back(entry);
  }
  snapshot_->through = piece.through;
  if (snapshot_->bytes > settings_.max_snapshot_bytes)
    return begin_snapshot(now + settings_.max_configuration_age, snapshot_->whole);
  if (!piece.complete) {
    // Requests the next piece when the budget has room for both the request and the piece.
    snapshot_->request_at = queue_.when_available(now, kMaxMessageBytes + 2 * kDatagramOverhead);
    return;
  }
  const Snapshot done = std::move(*snapshot_);
  snapshot_.reset();
  sink_.install(done.entries, done.whole, done.through);
  stream(Channel::kConfiguration).log.reset(done.through);
  apply_ready(Channel::kConfiguration);
  schedule_repair(now, Channel::kConfiguration, false);
}

// ---- forwarding down the tree

void Replica::forward(Time now, const MemberId& from, const Batch& batch) {
  if (batch.forward == Forward::kNobody) return;
  if (!batch.entries.empty())
    queue_.push(now, Urgency::kRequest, from,
                Ack{source_.term, batch.channel, batch.entries.back()->sequence});
  if (!is_first_time(batch)) return;
  if (batch.forward == Forward::kRegion)
    forward_to_region(now, batch);
  else
    forward_to_site(now, from, batch);
}

bool Replica::is_first_time(const Batch& batch) {
  const Sequence last =
      batch.entries.empty() ? head(batch.channel) : batch.entries.back()->sequence;
  const auto kind = static_cast<std::uint64_t>(batch.forward) * 2 + index(batch.channel);
  const std::uint64_t hash = mix(mix(last, batch.entries.size()), mix(kind, batch.stripe));
  if (std::find(forwarded_.begin(), forwarded_.end(), hash) != forwarded_.end()) return false;
  forwarded_.push_back(hash);
  if (forwarded_.size() > kMaxForwardedKept) forwarded_.pop_front();
  return true;
}

void Replica::forward_to_region(Time now, const Batch& batch) {
  const MemberPlace* place = tree_->find(settings_.id);
  if (!place) return;
  Batch copy = batch;
  copy.forward = Forward::kSite;
  for (const auto& site : tree_->sites(place->region)) {
    const Relays& relays = tree_->site_relays(site, batch.stripe);
    if (relays.relay == settings_.id) {
      forward_to_site(now, {}, copy);
    } else if (!relays.relay.empty()) {
      queue_.push(now, urgency_of(copy), relays.relay, copy);
      hops_.sent(now, relays, copy);
    }
  }
}

void Replica::forward_to_site(Time now, const MemberId& from, const Batch& batch) {
  const MemberPlace* place = tree_->find(settings_.id);
  if (!place) return;
  Batch copy = batch;
  copy.forward = Forward::kNobody;
  for (const auto& member : tree_->members(place->site))
    if (member != settings_.id && member != from) queue_.push(now, urgency_of(copy), member, copy);
}

// ---- reports up the tree

void Replica::on_report(const Report& report) {
  const MemberPlace* place = tree_->find(settings_.id);
  const MemberPlace* member = tree_->find(report.from);
  if (place && member && member->site == place->site) watermark_.on_report(report);
}

void Replica::report(Time now) {
  report_at_ = now + settings_.report_period;
  const MemberPlace* place = tree_->find(settings_.id);
  if (!place || source_.term == 0) return;
  Report own{settings_.id, source_.term, {}, {}};
  for (const Channel channel : kChannels) own.in_force[index(channel)] = stream(channel).log.last();
  const MemberId& collector = tree_->site_relays(place->site, kReportStripe).relay;
  if (collector == settings_.id) {
    watermark_.on_report(std::move(own));
    queue_.push(now, Urgency::kRequest, settings_.source,
                watermark_.merge(place->site, source_.term, tree_->members(place->site)));
  } else if (!collector.empty()) {
    queue_.push(now, Urgency::kRequest, collector, std::move(own));
  }
}

// ---- timers

void Replica::on_timer(Time now) {
  for (const Channel channel : kChannels)
    if (now >= stream(channel).request_at) request_missing(now, channel);
  if (snapshot_ && now >= snapshot_->request_at) request_snapshot_piece(now);
  if (now >= report_at_) report(now);
  for (auto& resend : hops_.due(now)) {
    const Urgency urgency = urgency_of(resend.batch);
    queue_.push(now, urgency, std::move(resend.to), std::move(resend.batch));
  }
}

Time Replica::next(Time now) const {
  Time when = std::min({report_at_, hops_.next(), queue_.next(now)});
  for (const auto& stream : streams_) when = std::min(when, stream.request_at);
  return snapshot_ ? std::min(when, snapshot_->request_at) : when;
}

std::vector<SendQueue::Item> Replica::take_sends(Time now) {
  std::vector<SendQueue::Item> items;
  while (auto item = queue_.pop(now)) items.push_back(std::move(*item));
  return items;
}

Checkpoint Replica::checkpoint() const {
  Checkpoint kept{source_.term, {}, snapshot_ && snapshot_->whole};
  for (const Channel channel : kChannels)
    kept.sequences[index(channel)] = stream(channel).log.last();
  return kept;
}

Freshness Replica::freshness(Time now) const {
  Freshness freshness_now;
  freshness_now.silence = now - last_push_at_;
  freshness_now.purges_complete = has_received_push_ &&
                                  freshness_now.silence <= settings_.max_silence &&
                                  !is_behind(Channel::kPurge);
  const bool is_whole = snapshot_ && snapshot_->whole;
  freshness_now.configuration_valid =
      source_.term > 0 && !is_whole && freshness_now.silence <= settings_.max_configuration_age;
  return freshness_now;
}

}  // namespace balancer::dissemination

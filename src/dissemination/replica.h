#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dissemination/change_log.h"
#include "dissemination/hop_retransmit.h"
#include "dissemination/messages.h"
#include "dissemination/relay_tree.h"
#include "dissemination/send_queue.h"
#include "dissemination/watermark.h"
#include "structures/time.h"

namespace balancer::dissemination {

struct ReplicaSettings {
  MemberId id;
  MemberId source;  // name under which the owner reaches the present source
  SendLimits limits;
  // Entries retained to answer the requests of other members.
  PerChannel<std::size_t> max_log_entries{1024, 256};
  // Entries received out of order; further entries are dropped and requested again.
  std::size_t max_pending_entries = 1024;
  // Requests of other members for entries that this replica lacks too; retained until they arrive.
  std::size_t max_waiting_requests = 256;
  Duration max_request_wait{std::chrono::seconds(2)};
  // A replica that is further behind than this doesn't request each change: instead of purging key
  // by key, it marks everything held as unverified, and it reads the newest values of the
  // configuration.
  PerChannel<Sequence> max_replay{600, 64};
  // Time for a gap to close without a request: for the members that are responsible for its repair,
  // and for all others.
  PerChannel<Duration> first_wait{std::chrono::milliseconds(60), std::chrono::milliseconds(400)};
  PerChannel<Duration> wait{std::chrono::milliseconds(220), std::chrono::seconds(1)};
  // Time between two requests for the same gap, to a member of the region and to the source.
  // Doubled after each round in which no member has answered, up to `max_retry`.
  Duration retry{std::chrono::milliseconds(200)}, source_retry{std::chrono::milliseconds(300)};
  Duration max_retry{std::chrono::seconds(1)};
  // Time until a batch that a site of its region hasn't acknowledged is sent again.
  Duration retransmit{std::chrono::milliseconds(150)};
  Duration report_period{std::chrono::seconds(3)};
  // If no pushed batch has arrived for this long, purges may have been missed.
  Duration max_silence{std::chrono::milliseconds(2500)};
  // Longest time since the last pushed batch for which the configuration is considered valid.
  Duration max_configuration_age{std::chrono::seconds(600)};
  std::size_t max_snapshot_bytes = 4u << 20;
};

// State that survives a restart. It may be older than the applied changes, which are applied again
// then.
struct Checkpoint {
  Term term = 0;
  PerChannel<Sequence> sequences{};
  // The configuration may contain changes that the present source doesn't have, so that it must be
  // read again as a whole.
  bool needs_whole_configuration = false;
};

// Interface through which changes take effect.
class ChangeSink {
 public:
  virtual ~ChangeSink() = default;
  // Applies the next change of its channel.
  virtual void apply(Channel channel, const Entry& entry) = 0;
  // Reports that the purges in (after, through] were skipped: nothing that was cached before this
  // call may be served without revalidation.
  virtual void on_purges_skipped(Sequence after, Sequence through) = 0;
  // Installs the newest values of configuration keys, which together with the changes applied
  // before form the configuration at number `through`. If `whole`, the entries alone form it, and
  // all other keys are deleted.
  virtual void install(const std::vector<EntryPtr>& entries, bool whole, Sequence through) = 0;
};

// Whether purges and configuration are up to date.
struct Freshness {
  bool purges_complete = false;      // all purges sent until max_silence ago are applied
  bool configuration_valid = false;  // complete, and not older than max_configuration_age
  Duration silence{0};               // since the last pushed batch
};

// The state of one member. Applies changes in order, forwards batches as their sender specifies,
// detects gaps and requests the missing entries, and reports its cursors. The collector of a site
// also merges the reports of the site's members. No I/O, no clock, no threads. Tolerates duplicated
// and reordered messages.
class Replica {
 public:
  // `sink` must outlive the replica. Without a checkpoint, the replica starts with skipped purges
  // and a snapshot of the whole configuration.
  Replica(const ReplicaSettings& settings, std::shared_ptr<const RelayTree> tree,
          const std::optional<Checkpoint>& checkpoint, ChangeSink& sink, Time now);

  void on_message(Time now, const MemberId& from, const Message& message, std::size_t bytes);
  void on_timer(Time now);
  Time next(Time now) const;
  void set_tree(std::shared_ptr<const RelayTree> tree);
  std::vector<SendQueue::Item> take_sends(Time now);

  Cursor cursor(Channel channel) const { return {source_.term, stream(channel).log.last()}; }
  Checkpoint checkpoint() const;
  Freshness freshness(Time now) const;
  const ChangeLog& log(Channel channel) const { return stream(channel).log; }
  const SendQueue& queue() const { return queue_; }

 private:
  struct Stream {
    ChangeLog log;                         // its last number is the cursor
    std::map<Sequence, EntryPtr> pending;  // received out of order
    Time request_at = Time::max();         // when to request missing entries
    int attempts = 0;
  };
  // The newest values of the configuration, read in pieces and installed together.
  struct Snapshot {
    bool whole = false;
    Sequence through = 0;
    std::vector<EntryPtr> entries;
    std::size_t bytes = 0;
    Time request_at{0};
  };

  Stream& stream(Channel channel) { return streams_[index(channel)]; }
  const Stream& stream(Channel channel) const { return streams_[index(channel)]; }
  Sequence head(Channel channel) const { return source_.heads[index(channel)]; }
  bool is_behind(Channel channel) const { return stream(channel).log.last() < head(channel); }

  // Returns false, and ignores `source`, if it is of an earlier term.
  bool accept_source(Time now, const SourceState& source);
  void adopt_term(Time now, const SourceState& source);
  void on_batch(Time now, const MemberId& from, const Batch& batch);
  void on_piece(Time now, const SnapshotPiece& piece);
  void on_report(const Report& report);
  void answer(Time now, const MemberId& from, const RangeRequest& request);
  void answer_waiting_requests(Time now, Channel channel);
  // Returns whether this member is responsible, for its site or region, for repairing a gap that
  // starts after `cursor`.
  bool is_repair_relay(Channel channel, Sequence cursor) const;

  void apply_ready(Channel channel);
  void schedule_repair(Time now, Channel channel, bool at_once);
  void request_missing(Time now, Channel channel);
  void skip_purges();
  void begin_snapshot(Time now, bool whole);
  void request_snapshot_piece(Time now);

  void forward(Time now, const MemberId& from, const Batch& batch);
  void forward_to_region(Time now, const Batch& batch);
  void forward_to_site(Time now, const MemberId& from, const Batch& batch);
  bool is_first_time(const Batch& batch);
  void report(Time now);

  // Returns the members to request the entries after the cursor from, in order of preference.
  std::vector<MemberId> repair_targets(Channel channel) const;

  const ReplicaSettings settings_;
  std::shared_ptr<const RelayTree> tree_;
  ChangeSink& sink_;
  SourceState source_;
  bool is_fresh_;  // no source state received, and started without a checkpoint
  Time last_push_at_;
  bool has_received_push_ = false;
  PerChannel<Stream> streams_;
  std::optional<Snapshot> snapshot_;
  std::deque<std::uint64_t> forwarded_;  // hashes of the last forwarded batches
  struct Waiting {
    MemberId from;
    RangeRequest request;
    Time since{0};
  };
  std::deque<Waiting> waiting_;  // requests for entries that are missing here too; oldest first
  SendQueue queue_;
  HopRetransmit hops_;
  Watermark watermark_;  // over its site, if this member collects its reports
  Time report_at_;
};

}  // namespace balancer::dissemination

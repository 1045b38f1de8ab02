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
  MemberId source;  // whatever the owner reaches the present source by
  SendLimits limits;
  // Kept for neighbours that ask.
  PerChannel<std::size_t> max_log_entries{1024, 256};
  // Entries that came before their turn; more are dropped and asked for again.
  std::size_t max_pending_entries = 1024;
  // Requests of others for what it lacks itself, kept until it has it.
  std::size_t max_waiting_requests = 256;
  Duration max_request_wait{std::chrono::seconds(2)};
  // Further behind than this it doesn't ask for each change: it distrusts what is held instead of
  // purging key by key, and reads the newest values of the configuration.
  PerChannel<Sequence> max_replay{600, 64};
  // How long a gap may close by itself: for those who ask first in a site, and for the others.
  PerChannel<Duration> first_wait{std::chrono::milliseconds(60), std::chrono::milliseconds(400)};
  PerChannel<Duration> wait{std::chrono::milliseconds(220), std::chrono::seconds(1)};
  // Between two requests for the same gap, to one in its region and to the source; doubled each
  // time that nobody has answered, up to the longest.
  Duration retry{std::chrono::milliseconds(200)}, source_retry{std::chrono::milliseconds(300)};
  Duration max_retry{std::chrono::seconds(1)};
  // Until a batch that a site of its region hasn't acknowledged is sent again.
  Duration retransmit{std::chrono::milliseconds(150)};
  Duration report_period{std::chrono::seconds(3)};
  // Without word from the source for so long, purges may have been missed.
  Duration max_silence{std::chrono::milliseconds(2500)};
  // How long it acts on old configuration.
  Duration max_configuration_age{std::chrono::seconds(600)};
  std::size_t max_snapshot_bytes = 4u << 20;
};

// What outlives a restart. It may be older than what was applied: changes are applied again then.
struct Checkpoint {
  Term term = 0;
  PerChannel<Sequence> sequences{};
  // The configuration holds changes that the present source doesn't know, and is to be read anew.
  bool needs_whole_configuration = false;
};

// Where changes take effect.
class ChangeSink {
 public:
  virtual ~ChangeSink() = default;
  // The next change of its channel.
  virtual void apply(Channel channel, const Entry& entry) = 0;
  // Purges in (after, through] were not seen one by one: nothing that was held before this call may
  // be served as it is.
  virtual void distrust_held(Sequence after, Sequence through) = 0;
  // Newest values of configuration keys, which together with what was applied are the configuration
  // at number `through`; `whole`: they alone are, and keys that aren't named are gone.
  virtual void install(const std::vector<EntryPtr>& entries, bool whole, Sequence through) = 0;
};

// What may be relied on now.
struct Reliance {
  bool purges_complete = false;      // all that were sent until max_silence ago are applied
  bool configuration_valid = false;  // not older than max_configuration_age
  Duration silence{0};               // since the source was heard
};

// One member: applies changes in order, forwards batches as their sender says, finds gaps and has
// them repaired, and reports its cursors; collects the reports of its site or region where that is
// its part. No I/O, no clock, no threads. Duplicates and reordering are harmless.
class Replica {
 public:
  // `sink` outlives it. Without a checkpoint it starts with distrust and a whole snapshot.
  Replica(const ReplicaSettings& settings, std::shared_ptr<const RelayTree> tree,
          const std::optional<Checkpoint>& checkpoint, ChangeSink& sink, Time now);

  void on_message(Time now, const MemberId& from, const Message& message, std::size_t bytes);
  void on_timer(Time now);
  Time next(Time now) const;
  void set_tree(std::shared_ptr<const RelayTree> tree);
  std::vector<SendQueue::Item> take_sends(Time now);

  Cursor cursor(Channel channel) const { return {source_.term, stream(channel).log.last()}; }
  Checkpoint checkpoint() const;
  Reliance reliance(Time now) const;
  const ChangeLog& log(Channel channel) const { return stream(channel).log; }
  const SendQueue& queue() const { return queue_; }

 private:
  struct Stream {
    ChangeLog log;                         // its end is the cursor
    std::map<Sequence, EntryPtr> pending;  // came before their turn
    Time ask_at = Time::max();             // for what is missing
    int attempts = 0;
  };
  // Newest values of the configuration, read piece by piece and installed together.
  struct Snapshot {
    bool whole = false;
    Sequence through = 0;
    std::vector<EntryPtr> entries;
    std::size_t bytes = 0;
    Time ask_at{0};
  };

  Stream& stream(Channel channel) { return streams_[index(channel)]; }
  const Stream& stream(Channel channel) const { return streams_[index(channel)]; }
  Sequence head(Channel channel) const { return source_.heads[index(channel)]; }
  bool is_behind(Channel channel) const { return stream(channel).log.last() < head(channel); }

  // False for word of an earlier term.
  bool take_source(Time now, const SourceState& source);
  void adopt_term(Time now, const SourceState& source);
  void on_batch(Time now, const MemberId& from, const Batch& batch);
  void on_piece(Time now, const SnapshotPiece& piece);
  void on_report(const Report& report);
  void answer(Time now, const MemberId& from, const RangeRequest& request);
  void answer_waiting(Time now, Channel channel);
  // Whether this one looks after the repair of what follows `cursor`, for its site or region.
  bool looks_after(Channel channel, Sequence cursor) const;

  void apply_ready(Channel channel);
  void watch_gap(Time now, Channel channel, bool asks_on);
  void ask(Time now, Channel channel);
  void jump_purges();
  void begin_snapshot(Time now, bool whole);
  void ask_for_piece(Time now);

  void forward(Time now, const MemberId& from, const Batch& batch);
  void forward_to_region(Time now, const Batch& batch);
  void forward_to_site(Time now, const MemberId& from, const Batch& batch);
  bool is_first_time(const Batch& batch);
  void report(Time now);

  // Whom to ask for what follows the cursor, first to last.
  std::vector<MemberId> ladder(Channel channel) const;

  const ReplicaSettings settings_;
  std::shared_ptr<const RelayTree> tree_;
  ChangeSink& sink_;
  SourceState source_;
  bool is_fresh_;  // nothing has been heard, and there was no checkpoint
  Time heard_at_;
  bool has_heard_ = false;
  PerChannel<Stream> streams_;
  std::optional<Snapshot> snapshot_;
  std::deque<std::uint64_t> forwarded_;  // hashes of the last batches
  struct Waiting {
    MemberId from;
    RangeRequest request;
    Time since{0};
  };
  std::deque<Waiting> waiting_;  // asked for what this one lacks itself; oldest first
  SendQueue queue_;
  HopRetransmit hops_;
  Watermark watermark_;  // of its site, where it collects reports
  Time report_at_;
};

}  // namespace balancer::dissemination

#pragma once

#include <memory>
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

struct SourceSettings {
  MemberId id;
  // Must be larger than any earlier term; the owner ensures this (by an election or a durable
  // counter).
  Term term = 1;
  // Longest time that a change waits for other changes to share its batch.
  PerChannel<Duration> max_delay{std::chrono::milliseconds(500), std::chrono::seconds(1)};
  // Bytes of entries per second, and the burst: every member must be able to receive and to forward
  // this amount within its own budget.
  PerChannel<double> bytes_per_second{1450, 350};
  PerChannel<double> burst_bytes{8000, 6000};
  // A batch without entries is sent if no other batch was sent for this long.
  Duration heartbeat{std::chrono::seconds(1)};
  PerChannel<std::size_t> max_log_entries{65536, 8192};
  // Numbered but unsent changes; further changes are refused.
  std::size_t max_unsent = 16384;
  // The source runs on its own machine and isn't subject to a balancer's byte budget.
  SendLimits limits{2e6, 4e6, 65536, 64u << 20};
  // Time until a batch that a region hasn't acknowledged is sent again.
  Duration retransmit{std::chrono::milliseconds(400)};
};

// The recovered changes of earlier sources: consecutive entries from storage, or from the member
// with the most recent log. A new source has no other knowledge of earlier terms.
struct History {
  PerChannel<std::vector<EntryPtr>> entries;
};

// Whether a change is in force at every member, and which members lack it. A site that has not
// reported in this term is listed in place of its members. At most Watermark::kMaxLaggards entries.
struct InForce {
  bool everywhere = false;
  Sequence least = 0;  // last change that is in force everywhere
  std::vector<Laggard> lacking;
};

// Numbers changes and sends them to one relay of each region, answers requests for ranges and
// snapshots, and collects watermarks. No I/O: the owner must make a change durable, with the number
// that append() returned, before the next on_timer() sends it.
class Source {
 public:
  Source(const SourceSettings& settings, std::shared_ptr<const RelayTree> tree,
         const History& history, Time now);

  // Returns the change's number; 0 if too many changes are unsent or a later source has taken over.
  Sequence append(Time now, Channel channel, std::string key, std::string value);
  void on_message(Time now, const MemberId& from, const Message& message, std::size_t bytes);
  void on_timer(Time now);
  Time next(Time now) const;
  void set_tree(std::shared_ptr<const RelayTree> tree);
  std::vector<SendQueue::Item> take_sends(Time now);

  const SourceState& state() const { return state_; }
  const ChangeLog& log(Channel channel) const { return logs_[index(channel)]; }
  // Contains sent changes only: a successor may assign the number of an unsent change to another.
  const CompactedLog& configuration() const { return configuration_; }
  InForce in_force(Channel channel, Sequence sequence) const;
  // The same for the members of one region or one site.
  InForce in_force_in_region(const std::string& region, Channel channel, Sequence sequence) const;
  InForce in_force_at_site(const std::string& site, Channel channel, Sequence sequence) const;
  // True if a source of a later term exists; this source must stop then.
  bool superseded() const { return superseded_; }

 private:
  struct Pacing {
    double tokens = 0;
    Time at{0};
    Time due = Time::max();  // when the oldest unsent change has waited for max_delay
  };
  void send_due(Time now, Channel channel);
  void send_batch(Time now, Channel channel, std::vector<EntryPtr> entries);
  void answer(Time now, const MemberId& from, const RangeRequest& request);
  void answer(Time now, const MemberId& from, const SnapshotRequest& request);
  void on_report(const Report& report);
  InForce in_force_at(const std::vector<std::string>& sites, Channel channel,
                      Sequence sequence) const;
  void observe_term(Term term) { superseded_ = superseded_ || term > state_.term; }

  const SourceSettings settings_;
  std::shared_ptr<const RelayTree> tree_;
  SourceState state_;
  PerChannel<ChangeLog> logs_;
  CompactedLog configuration_;
  PerChannel<Pacing> pacing_;
  SendQueue queue_;
  HopRetransmit hops_;
  Watermark watermark_;  // over all sites
  Time last_batch_;
  std::uint32_t next_stripe_ = 0;
  bool superseded_ = false;
};

}  // namespace balancer::dissemination

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// The newest consecutive entries of one channel, in bounded memory: the oldest are dropped.
class ChangeLog {
 public:
  // Begins empty, behind `last`.
  explicit ChangeLog(std::size_t max_entries, Sequence last = 0)
      : max_entries_(max_entries), last_(last) {}

  // `entry` has to be the next one: last() + 1. False if it isn't, and nothing changes.
  bool append(EntryPtr entry);
  // Forgets all entries and goes on behind `last`.
  void reset(Sequence last);
  // Forgets the entries behind `last`, of a source whose successor doesn't know them.
  void truncate(Sequence last);

  Sequence last() const { return last_; }
  // The first that is still kept; last() + 1 if none is.
  Sequence oldest() const { return last_ + 1 - entries_.size(); }
  std::size_t size() const { return entries_.size(); }
  // Entries from `first` up to `last` or the first that makes them larger than `max_bytes`; nothing
  // if `first` isn't kept.
  std::vector<EntryPtr> range(Sequence first, Sequence last, std::size_t max_bytes) const;

 private:
  const std::size_t max_entries_;
  std::deque<EntryPtr> entries_;
  Sequence last_;
};

// The newest entry of each key, in order of sequence numbers: a compacted log. What changed behind
// any number is read in pieces; a key that changes meanwhile comes again in a later piece, so that
// the pieces together are the state at the last one's end. Bounded by the number of keys (deleted
// ones among them), which the owner of the configuration bounds.
class CompactedLog {
 public:
  void put(EntryPtr entry);

  struct Piece {
    std::vector<EntryPtr> entries;
    Sequence through = 0;
    bool complete = false;
  };
  // The newest entries behind `after`, up to `max_bytes`.
  Piece read(Sequence after, Sequence head, std::size_t max_bytes) const;
  std::size_t size() const { return by_sequence_.size(); }
  const std::map<Sequence, EntryPtr>& entries() const { return by_sequence_; }

 private:
  std::map<Sequence, EntryPtr> by_sequence_;
  std::unordered_map<std::string, Sequence> by_key_;
};

}  // namespace balancer::dissemination

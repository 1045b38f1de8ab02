#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// The newest consecutive entries of one channel. Memory is bounded: when the log is full, its
// oldest entry is dropped.
class ChangeLog {
 public:
  // Creates an empty log whose first entry will have the number `last` + 1.
  explicit ChangeLog(std::size_t max_entries, Sequence last = 0)
      : max_entries_(max_entries), last_(last) {}

  // Appends `entry` if its number is last() + 1; otherwise returns false and changes nothing.
  bool append(EntryPtr entry);
  // Removes all entries; the next one will have the number `last` + 1.
  void reset(Sequence last);
  // Removes the entries after `last`: a source numbered them, but its successor doesn't have them.
  void truncate(Sequence last);

  Sequence last() const { return last_; }
  // Returns the number of the oldest retained entry, or last() + 1 if the log is empty.
  Sequence oldest() const { return last_ + 1 - entries_.size(); }
  std::size_t size() const { return entries_.size(); }
  // Returns the entries from `first` to `up_to`, cut off before the entry with which they would
  // exceed `max_bytes` (but never before the first entry). Returns nothing if there are no such
  // entries or `first` is no longer retained; oldest() tells which.
  std::vector<EntryPtr> range(Sequence first, Sequence up_to, std::size_t max_bytes) const;

 private:
  const std::size_t max_entries_;
  std::deque<EntryPtr> entries_;
  Sequence last_;
};

// A compacted log: the newest entry of each key, in order of sequence numbers. The changes after
// any number are read in pieces. A key that changes between two reads appears again in a later
// piece, so that all pieces together give the state at the end of the last piece. The size is
// bounded by the number of keys, including deleted keys, which the owner of the configuration
// bounds.
class CompactedLog {
 public:
  // Replaces the entry of the same key, if any. Does not check the order of sequence numbers.
  void put(EntryPtr entry);

  struct Piece {
    std::vector<EntryPtr> entries;
    Sequence through = 0;  // the piece holds all newest entries in (after, through]
    bool complete = false;
  };
  // Returns the newest entries after `after`, up to `max_bytes` (at least one entry, if any
  // exists).
  Piece read(Sequence after, Sequence head, std::size_t max_bytes) const;
  std::size_t size() const { return by_sequence_.size(); }
  const std::map<Sequence, EntryPtr>& entries() const { return by_sequence_; }

 private:
  std::map<Sequence, EntryPtr> by_sequence_;
  std::unordered_map<std::string, Sequence> by_key_;
};

}  // namespace balancer::dissemination

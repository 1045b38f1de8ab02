#include "dissemination/change_log.h"

#include <algorithm>
#include <utility>

namespace balancer::dissemination {

bool ChangeLog::append(EntryPtr entry) {
  if (entry->sequence != last_ + 1) return false;
  entries_.push_back(std::move(entry));
  ++last_;
  if (entries_.size() > max_entries_) entries_.pop_front();
  return true;
}

void ChangeLog::reset(Sequence last) {
  entries_.clear();
  last_ = last;
}

void ChangeLog::truncate(Sequence last) {
  if (last >= last_) return;
  if (last + 1 < oldest()) return reset(last);
  entries_.resize(last + 1 - oldest());
  last_ = last;
}

std::vector<EntryPtr> ChangeLog::range(Sequence first, Sequence up_to,
                                       std::size_t max_bytes) const {
  std::vector<EntryPtr> found;
  if (first < oldest()) return found;
  std::size_t bytes = 0;
  for (Sequence sequence = first; sequence <= std::min(up_to, last_); ++sequence) {
    const EntryPtr& entry = entries_[sequence - oldest()];
    bytes += wire_size(*entry);
    if (bytes > max_bytes && !found.empty()) break;
    found.push_back(entry);
  }
  return found;
}

void CompactedLog::put(EntryPtr entry) {
  const auto [it, is_new] = by_key_.try_emplace(entry->key, entry->sequence);
  if (!is_new) {
    by_sequence_.erase(it->second);
    it->second = entry->sequence;
  }
  by_sequence_[entry->sequence] = std::move(entry);
}

CompactedLog::Piece CompactedLog::read(Sequence after, Sequence head, std::size_t max_bytes) const {
  Piece piece{{}, after, false};
  std::size_t bytes = 0;
  for (auto it = by_sequence_.upper_bound(after); it != by_sequence_.end(); ++it) {
    bytes += wire_size(*it->second);
    if (bytes > max_bytes && !piece.entries.empty()) return piece;
    piece.entries.push_back(it->second);
    piece.through = it->first;
  }
  // A complete piece also covers the numbers up to `head` whose entries were superseded.
  piece.through = std::max(after, head);
  piece.complete = true;
  return piece;
}

}  // namespace balancer::dissemination

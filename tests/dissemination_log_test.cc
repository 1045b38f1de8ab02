// The change log: consecutive entries, bounded size, truncation when a new source has fewer
// changes; and the compacted log, which is read in pieces while it changes. Also answers to range
// requests.
#include <gtest/gtest.h>

#include "dissemination/change_log.h"
#include "dissemination/range_repair.h"

namespace balancer::dissemination {
namespace {

EntryPtr entry(Sequence sequence, std::string key = "key", std::string value = "") {
  return std::make_shared<Entry>(Entry{sequence, std::move(key), std::move(value)});
}

std::vector<Sequence> numbers(const std::vector<EntryPtr>& entries) {
  std::vector<Sequence> all;
  for (const auto& e : entries) all.push_back(e->sequence);
  return all;
}

TEST(ChangeLogTest, AppendsOnlyTheNextEntry) {
  ChangeLog log(10);
  EXPECT_FALSE(log.append(entry(2)));
  EXPECT_TRUE(log.append(entry(1)));
  EXPECT_FALSE(log.append(entry(1)));
  EXPECT_FALSE(log.append(entry(3)));
  EXPECT_TRUE(log.append(entry(2)));
  EXPECT_EQ(log.last(), 2u);
}

TEST(ChangeLogTest, DropsOldestEntriesWhenFull) {
  ChangeLog log(3);
  for (Sequence s = 1; s <= 100; ++s) ASSERT_TRUE(log.append(entry(s)));
  EXPECT_EQ(log.size(), 3u);
  EXPECT_EQ(log.oldest(), 98u);
  EXPECT_TRUE(log.range(97, 100, 1000).empty())
      << "a partial range must not be taken for the whole range";
  EXPECT_EQ(numbers(log.range(98, 200, 1000)), (std::vector<Sequence>{98, 99, 100}));
  EXPECT_TRUE(log.range(101, 200, 1000).empty());
}

TEST(ChangeLogTest, RangeKeepsToByteLimitButHasAtLeastOneEntry) {
  ChangeLog log(10);
  for (Sequence s = 1; s <= 5; ++s) log.append(entry(s, std::string(16, 'k')));
  EXPECT_EQ(numbers(log.range(1, 5, 2 * wire_size(*entry(1, std::string(16, 'k'))))),
            (std::vector<Sequence>{1, 2}));
  EXPECT_EQ(numbers(log.range(1, 5, 1)), (std::vector<Sequence>{1}));
}

TEST(ChangeLogTest, TruncatesWithinAndBeforeRetainedEntries) {
  ChangeLog log(3);
  for (Sequence s = 1; s <= 10; ++s) log.append(entry(s));
  log.truncate(11);
  EXPECT_EQ(log.last(), 10u);
  log.truncate(9);
  EXPECT_EQ(numbers(log.range(8, 10, 1000)), (std::vector<Sequence>{8, 9}));
  EXPECT_TRUE(log.append(entry(10)));
  log.truncate(4);
  EXPECT_EQ(log.size(), 0u);
  EXPECT_EQ(log.oldest(), 5u);
  EXPECT_TRUE(log.append(entry(5)));
}

TEST(CompactedLogTest, KeepsNewestEntryOfEachKey) {
  CompactedLog log;
  for (Sequence s = 1; s <= 100; ++s) log.put(entry(s, "k" + std::to_string(s % 4), "v"));
  EXPECT_EQ(log.size(), 4u);
  const auto piece = log.read(97, 100, 1000);
  EXPECT_EQ(numbers(piece.entries), (std::vector<Sequence>{98, 99, 100}));
  EXPECT_TRUE(piece.complete);
}

// Pieces that are read while keys change together give the state at the end of the last piece.
TEST(CompactedLogTest, PiecesGiveLastStateWhileKeysChange) {
  CompactedLog log;
  Sequence head = 0;
  const auto change = [&](int key) {
    ++head;
    log.put(entry(head, "k" + std::to_string(key), "v" + std::to_string(head)));
  };
  for (int k = 0; k < 50; ++k) change(k);
  std::map<std::string, std::string> state;
  Sequence after = 0;
  for (int pieces = 0;; ++pieces) {
    ASSERT_LT(pieces, 200);
    const auto piece = log.read(after, head, 40);
    for (const auto& e : piece.entries) state[e->key] = e->value;
    after = piece.through;
    if (piece.complete) break;
    if (pieces < 60) change(pieces * 7 % 50);
  }
  EXPECT_EQ(after, head);
  ASSERT_EQ(state.size(), 50u);
  for (const auto& [sequence, e] : log.entries()) EXPECT_EQ(state[e->key], e->value);
}

TEST(CompactedLogTest, ReturnsCompleteEmptyPieceIfNothingChanged) {
  CompactedLog log;
  log.put(entry(3));
  const auto piece = log.read(3, 3, 100);
  EXPECT_TRUE(piece.entries.empty());
  EXPECT_TRUE(piece.complete);
  EXPECT_EQ(piece.through, 3u);
}

// ---- answers to requests for a range

TEST(RangeRepairTest, AnswersOnlyFromHistoryOfRequestedTerm) {
  ChangeLog log(10);
  for (Sequence s = 1; s <= 5; ++s) log.append(entry(s));
  const SourceState source{3, {0, 0}, {4, 0}};
  EXPECT_EQ(numbers(answer_range(log, source, {3, Channel::kPurge, 2, 9})->entries),
            (std::vector<Sequence>{2, 3, 4}))
      << "unsent entries must not be included";
  const auto earlier = answer_range(log, source, {2, Channel::kPurge, 2, 3});
  ASSERT_TRUE(earlier) << "the answer must contain the new term";
  EXPECT_EQ(earlier->source.term, 3u);
  EXPECT_TRUE(earlier->entries.empty());
  EXPECT_FALSE(answer_range(log, source, {4, Channel::kPurge, 2, 3}));
}

TEST(RangeRepairTest, ReportsOldestEntryIfRangeIsNotRetained) {
  ChangeLog log(3);
  for (Sequence s = 1; s <= 10; ++s) log.append(entry(s));
  const auto answer = answer_range(log, {1, {0, 0}, {10, 0}}, {1, Channel::kPurge, 2, 10});
  EXPECT_TRUE(answer->entries.empty());
  EXPECT_EQ(answer->oldest, 8u);
}

TEST(WireSizeTest, CountsEntriesAndOverhead) {
  Batch batch;
  const auto empty = wire_size(Message(batch));
  EXPECT_GT(empty, kDatagramOverhead);
  batch.entries.push_back(entry(1, std::string(16, 'k')));
  EXPECT_EQ(wire_size(Message(batch)), empty + 20);
}

}  // namespace
}  // namespace balancer::dissemination

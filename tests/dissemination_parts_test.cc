// Components of dissemination in isolation: relay trees, the send queue with its byte budget, the
// source's snapshots, and watermarks.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "dissemination/relay_tree.h"
#include "dissemination/send_queue.h"
#include "dissemination/source.h"
#include "dissemination/watermark.h"

namespace balancer::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Urgency = SendQueue::Urgency;

constexpr std::uint32_t kStripes = 64;

std::vector<MemberPlace> places(int regions, int sites, int members) {
  std::vector<MemberPlace> all;
  for (int r = 0; r < regions; ++r)
    for (int s = 0; s < sites; ++s)
      for (int m = 0; m < members; ++m) {
        const std::string region = "r" + std::to_string(r);
        const std::string site = region + "s" + std::to_string(s);
        all.push_back({site + "m" + std::to_string(m), region, site, true});
      }
  return all;
}

TEST(RelayTreeTest, DoesNotDependOnOrderOfMembers) {
  auto members = places(2, 3, 5);
  const RelayTree one(members, kStripes);
  std::reverse(members.begin(), members.end());
  const RelayTree other(members, kStripes);
  for (std::uint32_t stripe = 0; stripe < kStripes; ++stripe) {
    EXPECT_EQ(one.region_relays("r1", stripe).relay, other.region_relays("r1", stripe).relay);
    EXPECT_EQ(one.site_relays("r0s2", stripe).standby, other.site_relays("r0s2", stripe).standby);
  }
}

TEST(RelayTreeTest, ChoosesRelayAndOtherStandbyWithinGroup) {
  const RelayTree tree(places(2, 3, 5), kStripes);
  for (const auto& region : tree.regions())
    for (std::uint32_t stripe = 0; stripe < kStripes; ++stripe) {
      const Relays& relays = tree.region_relays(region, stripe);
      EXPECT_EQ(tree.find(relays.relay)->region, region);
      EXPECT_EQ(tree.find(relays.standby)->region, region);
      EXPECT_NE(relays.relay, relays.standby);
      for (const auto& site : tree.sites(region)) {
        EXPECT_EQ(tree.find(tree.site_relays(site, stripe).relay)->site, site);
        EXPECT_NE(tree.site_relays(site, stripe).relay, tree.site_relays(site, stripe).standby);
      }
    }
}

TEST(RelayTreeTest, BoundsStripesOfEachMember) {
  const RelayTree tree(places(1, 2, 13), kStripes);
  std::map<MemberId, int> carried;
  for (std::uint32_t stripe = 0; stripe < kStripes; ++stripe)
    ++carried[tree.site_relays("r0s1", stripe).relay];
  EXPECT_EQ(carried.size(), 13u);
  for (const auto& [id, stripes] : carried) EXPECT_LE(stripes, 5) << id;
}

TEST(RelayTreeTest, UnreachableMemberRelaysNothingAndFewStripesMove) {
  auto members = places(1, 1, 13);
  const RelayTree before(members, kStripes);
  members[4].reachable = false;
  const RelayTree after(members, kStripes);
  EXPECT_EQ(after.members("r0s0").size(), 13u);
  int moved = 0;
  for (std::uint32_t stripe = 0; stripe < kStripes; ++stripe) {
    EXPECT_FALSE(after.site_relays("r0s0", stripe).includes(members[4].id));
    EXPECT_FALSE(after.region_relays("r0", stripe).includes(members[4].id));
    moved += before.site_relays("r0s0", stripe).relay != after.site_relays("r0s0", stripe).relay;
  }
  EXPECT_LT(moved, 24) << "its own 5 stripes, and those that move because of the bound";
}

TEST(RelayTreeTest, HandlesSitesWithOneOrNoReachableMember) {
  auto members = places(1, 1, 1);
  EXPECT_EQ(RelayTree(members, kStripes).site_relays("r0s0", 7).relay, members[0].id);
  EXPECT_EQ(RelayTree(members, kStripes).site_relays("r0s0", 7).standby, "");
  members[0].reachable = false;
  EXPECT_EQ(RelayTree(members, kStripes).site_relays("r0s0", 7).relay, "");
  EXPECT_EQ(RelayTree({}, kStripes).site_relays("r0s0", 7).relay, "");
}

// ---- the send queue

Message message_of(std::size_t bytes) {
  Batch batch;
  const std::size_t empty = wire_size(Message(batch));
  auto entry = std::make_shared<Entry>();
  const std::size_t framing = wire_size(*entry);
  entry->key.resize(bytes - empty - framing, 'k');
  batch.entries.push_back(entry);
  return batch;
}

std::size_t drain(SendQueue& queue, Time now) {
  std::size_t bytes = 0;
  while (const auto item = queue.pop(now)) bytes += item->bytes;
  return bytes;
}

TEST(SendQueueTest, KeepsToByteRate) {
  SendQueue queue({5000, 10000, 4096, 1'000'000, seconds(60), seconds(60)}, Time{0});
  for (int i = 0; i < 200; ++i) queue.push(Time{0}, Urgency::kUrgent, "a", message_of(500));
  std::size_t sent = 0;
  for (Time now{0}; now <= seconds(10); now += milliseconds(10)) sent += drain(queue, now);
  EXPECT_GE(sent, 59'500u);
  EXPECT_LE(sent, 60'500u) << "the burst and the budget of 10 s, plus at most one message";
}

TEST(SendQueueTest, CountsReceivedBytesAgainstBudget) {
  SendQueue queue({5000, 10000, 4096, 1'000'000, seconds(60), seconds(60)}, Time{0});
  for (int i = 0; i < 200; ++i) queue.push(Time{0}, Urgency::kUrgent, "a", message_of(500));
  std::size_t sent = 0;
  for (Time now{0}; now <= seconds(10); now += milliseconds(100)) {
    queue.on_received(now, 300);
    sent += drain(queue, now);
  }
  EXPECT_NEAR(static_cast<double>(sent), 60'000 - 101 * 300, 600);
}

TEST(SendQueueTest, BoundsDelayCausedByReceivedBytes) {
  SendQueue queue({5000, 10000, 4096, 1'000'000, seconds(60), seconds(60)}, Time{0});
  queue.on_received(Time{0}, 10'000'000);
  queue.push(Time{0}, Urgency::kUrgent, "a", message_of(500));
  EXPECT_FALSE(queue.pop(Time{0}));
  EXPECT_LE(queue.next(Time{0}), milliseconds(2001));
  EXPECT_TRUE(queue.pop(queue.next(Time{0})));
}

TEST(SendQueueTest, SendsUrgentFirstWithoutStarvingBulk) {
  SendQueue queue({5000, 100'000, 4000, 1'000'000}, Time{0});
  for (int i = 0; i < 5; ++i) queue.push(Time{0}, Urgency::kBulk, "bulk", message_of(1000));
  for (int i = 0; i < 30; ++i) queue.push(Time{0}, Urgency::kUrgent, "urgent", message_of(1000));
  std::string order;
  while (const auto item = queue.pop(Time{0})) order += item->to[0];
  EXPECT_EQ(order, "uuuubuuuubuuuubuuuubuuuubuuuuuuuuuu");
}

TEST(SendQueueTest, SendsOwnRequestsFirst) {
  SendQueue queue({5000, 100'000, 4000, 1'000'000}, Time{0});
  queue.push(Time{0}, Urgency::kBulk, "bulk", message_of(500));
  queue.push(Time{0}, Urgency::kUrgent, "urgent", message_of(500));
  queue.push(Time{0}, Urgency::kRequest, "request", RangeRequest{});
  std::string order;
  while (const auto item = queue.pop(Time{0})) order += item->to[0];
  EXPECT_EQ(order, "rub");
}

TEST(SendQueueTest, DropsMessagesOlderThanMaxAge) {
  SendQueue queue({5000, 100'000, 4000, 1'000'000, seconds(2), seconds(10)}, Time{0});
  queue.push(Time{0}, Urgency::kUrgent, "a", message_of(500));
  queue.push(Time{0}, Urgency::kBulk, "b", message_of(500));
  queue.push(seconds(1), Urgency::kUrgent, "c", message_of(500));
  EXPECT_EQ(queue.pop(seconds(3))->to, "c");
  EXPECT_EQ(queue.dropped(), 1u);
  EXPECT_FALSE(queue.pop(seconds(11)));
  EXPECT_EQ(queue.dropped(), 2u);
}

TEST(SendQueueTest, DropsAndCountsMessagesWhenFull) {
  SendQueue queue({5000, 10000, 4096, 2000}, Time{0});
  for (int i = 0; i < 6; ++i) queue.push(Time{0}, Urgency::kBulk, "a", message_of(500));
  EXPECT_EQ(queue.dropped(), 2u);
  EXPECT_EQ(drain(queue, Time{0}), 2000u);
}

// ---- the source

// A successor that doesn't have an unsent change may assign its number to another change.
TEST(SourceTest, SnapshotContainsOnlySentChanges) {
  const auto tree = std::make_shared<RelayTree>(places(1, 1, 2), kStripes);
  Source source({}, tree, {}, Time{0});
  source.append(Time{0}, Channel::kConfiguration, "key", "sent");
  source.on_timer(seconds(1));
  source.take_sends(seconds(1));
  source.append(seconds(1), Channel::kConfiguration, "key", "not sent");
  source.on_message(seconds(1), "r0s0m0", SnapshotRequest{1, 0}, 0);
  const auto sends = source.take_sends(seconds(1));
  ASSERT_EQ(sends.size(), 1u);
  const auto& piece = std::get<SnapshotPiece>(sends[0].message);
  EXPECT_TRUE(piece.complete);
  EXPECT_EQ(piece.through, 1u);
  ASSERT_EQ(piece.entries.size(), 1u);
  EXPECT_EQ(piece.entries[0]->value, "sent");
}

// ---- watermarks

Report report(std::string from, Term term, Sequence purge, Sequence configuration) {
  return {std::move(from), term, {purge, configuration}, {}};
}

TEST(WatermarkTest, IsMinimumOverExpectedMembers) {
  Watermark watermark;
  watermark.on_report(report("a", 1, 10, 5));
  watermark.on_report(report("b", 1, 8, 7));
  const Report merged = watermark.merge("site", 1, {"a", "b"});
  EXPECT_EQ(merged.in_force, (PerChannel<Sequence>{8, 5}));
  EXPECT_EQ(merged.laggards[0][0].id, "b");
  EXPECT_EQ(merged.laggards[1][0].id, "a");
}

TEST(WatermarkTest, IsHeldBackByMemberThatNeverReported) {
  Watermark watermark;
  watermark.on_report(report("a", 1, 10, 5));
  const Report merged = watermark.merge("site", 1, {"a", "silent"});
  EXPECT_EQ(merged.in_force, (PerChannel<Sequence>{0, 0}));
  EXPECT_EQ(merged.laggards[0][0].id, "silent");
}

TEST(WatermarkTest, IgnoresReportsOfOtherTerms) {
  Watermark watermark;
  watermark.on_report(report("a", 2, 10, 5));
  watermark.on_report(report("b", 1, 900, 900));
  EXPECT_EQ(watermark.merge("site", 2, {"a", "b"}).in_force, (PerChannel<Sequence>{0, 0}));
  watermark.on_report(report("a", 1, 900, 900));
  EXPECT_EQ(watermark.reports().at("a").term, 2u)
      << "a late report of an earlier term must be ignored";
}

TEST(WatermarkTest, RemovesReportsOfFormerMembers) {
  Watermark watermark;
  watermark.on_report(report("a", 1, 10, 5));
  watermark.on_report(report("b", 1, 3, 3));
  EXPECT_EQ(watermark.merge("site", 1, {"a"}).in_force[0], 10u);
  watermark.keep_only({"a"});
  EXPECT_EQ(watermark.reports().count("b"), 0u);
}

TEST(WatermarkTest, NamesLaggingMembersAcrossLevels) {
  Watermark site, all;
  for (int m = 0; m < 13; ++m) site.on_report(report("m" + std::to_string(m), 1, 100 - m, 50));
  std::vector<std::string> members;
  for (int m = 0; m < 13; ++m) members.push_back("m" + std::to_string(m));
  all.on_report(site.merge("s0", 1, members));
  const Report merged = all.merge("source", 1, {"s0", "s1"});
  EXPECT_EQ(merged.in_force[0], 0u) << "s1 has not reported";
  EXPECT_EQ(merged.laggards[0][0].id, "s1");
  EXPECT_EQ(merged.laggards[0][1].id, "m12");
  EXPECT_EQ(merged.laggards[0].size(), Watermark::kMaxLaggards);
}

}  // namespace
}  // namespace balancer::dissemination

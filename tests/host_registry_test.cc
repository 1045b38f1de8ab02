#include "hosts/host_registry.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace balancer {
namespace {

using std::chrono::seconds;
using Kind = HostRegistry::HostChange::Kind;

std::vector<Kind> kinds(const std::vector<HostRegistry::HostChange>& changes) {
  std::vector<Kind> all;
  for (const auto& n : changes) all.push_back(n.kind);
  return all;
}

HostEntry entry(std::string_view id, HostState state = HostState::kServing) {
  HostEntry e;
  e.id = id;
  e.state = state;
  return e;
}

TEST(HostRegistryTest, ReturnsChangesInTheOrderOfTheList) {
  HostRegistry registry(false, seconds(10));
  HostEntry b = entry("b");
  b.start = HostStart::exactly(seconds(4));
  EXPECT_EQ(kinds(registry.on_list(ListKind::kComplete, {entry("a"), b})),
            (std::vector{Kind::kJoined, Kind::kStarted, Kind::kJoined}));
  EXPECT_EQ(registry.total_weight(), 2);
  // An unchanged entry is no change; a new start of a known host is.
  EXPECT_TRUE(registry.on_list(ListKind::kChanges, {b}).empty());
  b.start = HostStart::exactly(seconds(5));
  EXPECT_EQ(kinds(registry.on_list(ListKind::kChanges, {b})), std::vector{Kind::kStarted});
  EXPECT_EQ(kinds(registry.on_list(ListKind::kComplete, {b})),
            (std::vector{Kind::kLeft, Kind::kRemoved}));
  EXPECT_FALSE(registry.find("a"));
  EXPECT_TRUE(registry.on_list(ListKind::kRejected, {}).empty());
  EXPECT_TRUE(registry.find("b"));
}

TEST(HostRegistryTest, KeepsAHostThatHasReferences) {
  HostRegistry registry(false, seconds(10));
  registry.on_list(ListKind::kComplete, {entry("a")});
  const auto a = *registry.find("a");
  registry.add_reference(a);
  EXPECT_EQ(kinds(registry.on_list(ListKind::kComplete, {})), std::vector{Kind::kLeft});
  EXPECT_TRUE(registry.find("a"));
  EXPECT_TRUE(registry.release_reference(a));
  EXPECT_FALSE(registry.find("a"));
}

// A list that contains a host twice, the second time as gone, must not leave it placed.
TEST(HostRegistryTest, DoesNotPlaceAHostThatJoinsAndLeavesInOneList) {
  HostRegistry registry(false, seconds(10));
  EXPECT_EQ(kinds(registry.on_list(ListKind::kChanges, {entry("a"), entry("a", HostState::kGone)})),
            (std::vector{Kind::kJoined, Kind::kLeft, Kind::kRemoved}));
  EXPECT_EQ(registry.total_weight(), 0);
}

TEST(HostRegistryTest, KeepsAnOverrideAfterItsHostIsRemoved) {
  HostRegistry registry(false, seconds(10));
  EXPECT_FALSE(registry.prepare_override(seconds(0), "a"));
  registry.on_list(ListKind::kComplete, {entry("a")});
  ASSERT_TRUE(registry.prepare_override(seconds(1), "a"));
  ASSERT_TRUE(registry.differs_from_override("a", true));
  EXPECT_EQ(kinds(registry.restore("a", {true, seconds(1)})),
            std::vector{Kind::kTakenOutOfService});
  EXPECT_FALSE(registry.differs_from_override("a", true));
  registry.on_list(ListKind::kComplete, {});
  EXPECT_EQ(kinds(registry.on_list(ListKind::kComplete, {entry("a")})),
            (std::vector{Kind::kTakenOutOfService, Kind::kJoined}));
  EXPECT_FALSE(registry[*registry.find("a")].accepts_attempts());
  registry.restore("a", {false, seconds(5)});
  EXPECT_TRUE(registry[*registry.find("a")].accepts_attempts());
  // The override is removed after the retention time.
  EXPECT_EQ(registry.overrides().size(), 1u);
  EXPECT_TRUE(registry.prepare_override(seconds(16), "a"));
  EXPECT_TRUE(registry.overrides().empty());
}

TEST(HostRegistryTest, AcceptsOverridesOfThousandsOfHosts) {
  HostRegistry registry(false, seconds(10));
  std::vector<std::string> ids;
  for (int i = 0; i < 2048; ++i) ids.push_back("h" + std::to_string(i));
  std::vector<HostEntry> entries;
  for (const auto& id : ids) entries.push_back(entry(id));
  registry.on_list(ListKind::kComplete, entries);
  for (const auto& id : ids) {
    ASSERT_TRUE(registry.prepare_override(seconds(1), id)) << id;
    ASSERT_EQ(kinds(registry.restore(id, {true, seconds(1)})),
              std::vector{Kind::kTakenOutOfService})
        << id;
  }
  EXPECT_EQ(registry.overrides().size(), ids.size());
}

// For random lists and overrides, applying the returned changes yields the same set of placed hosts
// as the registry itself has.
TEST(HostRegistryTest, ReturnsChangesThatReproduceTheSetOfPlacedHosts) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    HostRegistry registry(true, seconds(10));
    std::set<HostRegistry::Index> placed;
    std::vector<HostRegistry::Index> referenced;
    for (int step = 0; step < 300; ++step) {
      std::vector<std::string> names;
      for (std::uint64_t i = random() % 8; i > 0; --i)
        names.push_back("h" + std::to_string(random() % 12));
      std::vector<HostEntry> list;
      for (const std::string& name : names) {
        list.push_back(entry(name, static_cast<HostState>(random() % 3)));
        list.back().is_origin = name == "h0";
        list.back().weight = static_cast<double>(random() % 40) - 2;
        if (random() % 3 == 0) list.back().start = HostStart::exactly(seconds(step));
      }
      const auto changes =
          random() % 4 == 0 && !names.empty()
              ? registry.restore(names[0], {random() % 2 == 0, seconds(step)})
              : registry.on_list(random() % 3 == 0 ? ListKind::kComplete : ListKind::kChanges,
                                 list);
      for (const auto& n : changes) {
        if (n.kind == Kind::kJoined) {
          ASSERT_TRUE(placed.insert(n.host).second);
        } else if (n.kind == Kind::kLeft) {
          ASSERT_EQ(placed.erase(n.host), 1u);
        } else if (n.kind == Kind::kRemoved) {
          ASSERT_EQ(placed.count(n.host), 0u);
        }
      }
      double weight = 0;
      std::set<HostRegistry::Index> placed_now;
      for (HostRegistry::Index i = 0; i < registry.size(); ++i) {
        if (!registry[i].is_placed()) continue;
        placed_now.insert(i);
        weight += registry[i].weight;
        ASSERT_GE(registry[i].weight, 0.1);
      }
      ASSERT_EQ(placed_now, placed);
      // Overrides do not change the total weight, and lists compute it from all placed hosts.
      ASSERT_DOUBLE_EQ(weight, registry.total_weight());
      if (!placed_now.empty() && random() % 2 == 0) {
        referenced.push_back(*placed_now.begin());
        registry.add_reference(referenced.back());
      } else if (!referenced.empty()) {
        const auto i = referenced.back();
        referenced.pop_back();
        const bool gone = !registry[i].is_placed();
        if (registry.release_reference(i)) {
          ASSERT_TRUE(gone);
        }
      }
      for (const auto i : referenced) ASSERT_FALSE(registry[i].id.empty());
    }
  }
}

}  // namespace
}  // namespace balancer

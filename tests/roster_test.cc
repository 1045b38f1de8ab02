#include "roster/roster.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace silverpin {
namespace {

using std::chrono::seconds;
using Kind = Roster::News::Kind;

std::vector<Kind> kinds(const std::vector<Roster::News>& news) {
  std::vector<Kind> all;
  for (const auto& n : news) all.push_back(n.kind);
  return all;
}

HostEntry entry(std::string_view id, HostState state = HostState::kServing) {
  HostEntry e;
  e.id = id;
  e.state = state;
  return e;
}

TEST(Roster, TellsWhoJoinedLeftAndStartedInTheOrderOfTheList) {
  Roster roster(false, seconds(10));
  HostEntry b = entry("b");
  b.start = HostStart::exactly(seconds(4));
  EXPECT_EQ(kinds(roster.on_list(ListKind::kWhole, {entry("a"), b})),
            (std::vector{Kind::kJoined, Kind::kStarted, Kind::kJoined}));
  EXPECT_EQ(roster.weight(), 2);
  // The same again is no news; another start of one that stays is.
  EXPECT_TRUE(roster.on_list(ListKind::kChanges, {b}).empty());
  b.start = HostStart::exactly(seconds(5));
  EXPECT_EQ(kinds(roster.on_list(ListKind::kChanges, {b})), std::vector{Kind::kStarted});
  EXPECT_EQ(kinds(roster.on_list(ListKind::kWhole, {b})),
            (std::vector{Kind::kLeft, Kind::kForgotten}));
  EXPECT_FALSE(roster.find("a"));
  EXPECT_TRUE(roster.on_list(ListKind::kRefused, {}).empty());
  EXPECT_TRUE(roster.find("b"));
}

TEST(Roster, OneThatIsStillNamedIsNotForgotten) {
  Roster roster(false, seconds(10));
  roster.on_list(ListKind::kWhole, {entry("a")});
  const auto a = *roster.find("a");
  roster.hold(a);
  EXPECT_EQ(kinds(roster.on_list(ListKind::kWhole, {})), std::vector{Kind::kLeft});
  EXPECT_TRUE(roster.find("a"));
  EXPECT_TRUE(roster.release(a));
  EXPECT_FALSE(roster.find("a"));
}

// A list that names a host twice, last as gone, must not leave it with a place.
TEST(Roster, OneThatJoinsAndLeavesInOneListHasNoPlace) {
  Roster roster(false, seconds(10));
  EXPECT_EQ(kinds(roster.on_list(ListKind::kChanges, {entry("a"), entry("a", HostState::kGone)})),
            (std::vector{Kind::kJoined, Kind::kLeft, Kind::kForgotten}));
  EXPECT_EQ(roster.weight(), 0);
}

TEST(Roster, AWordOutlastsTheHostThatItIsOf) {
  Roster roster(false, seconds(10));
  EXPECT_FALSE(roster.may_speak_of(seconds(0), "a"));
  roster.on_list(ListKind::kWhole, {entry("a")});
  ASSERT_TRUE(roster.may_speak_of(seconds(1), "a"));
  ASSERT_TRUE(roster.differs("a", true));
  EXPECT_EQ(kinds(roster.restore("a", {true, seconds(1)})), std::vector{Kind::kTakenOut});
  EXPECT_FALSE(roster.differs("a", true));
  roster.on_list(ListKind::kWhole, {});
  EXPECT_EQ(kinds(roster.on_list(ListKind::kWhole, {entry("a")})),
            (std::vector{Kind::kTakenOut, Kind::kJoined}));
  EXPECT_FALSE(roster[*roster.find("a")].takes_new());
  roster.restore("a", {false, seconds(5)});
  EXPECT_TRUE(roster[*roster.find("a")].takes_new());
  // Given up once it can no longer matter.
  EXPECT_EQ(roster.words().size(), 1u);
  EXPECT_TRUE(roster.may_speak_of(seconds(16), "a"));
  EXPECT_TRUE(roster.words().empty());
}

TEST(Roster, OperatorsMaySpeakOfAThousandHostsAtATime) {
  Roster roster(false, seconds(10));
  std::vector<std::string> ids;
  for (int i = 0; i < 2048; ++i) ids.push_back("h" + std::to_string(i));
  std::vector<HostEntry> entries;
  for (const auto& id : ids) entries.push_back(entry(id));
  roster.on_list(ListKind::kWhole, entries);
  for (const auto& id : ids) {
    ASSERT_TRUE(roster.may_speak_of(seconds(1), id)) << id;
    ASSERT_EQ(kinds(roster.restore(id, {true, seconds(1)})), std::vector{Kind::kTakenOut}) << id;
  }
  EXPECT_EQ(roster.words().size(), ids.size());
}

// Whatever lists say, replaying the news gives the same set of places as the roster itself has.
TEST(Roster, TheNewsAddUpToTheRoster) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    Roster roster(true, seconds(10));
    std::set<Roster::Index> placed;
    std::vector<Roster::Index> held;
    for (int step = 0; step < 300; ++step) {
      std::vector<std::string> names;
      for (std::uint64_t i = random() % 8; i > 0; --i)
        names.push_back("h" + std::to_string(random() % 12));
      std::vector<HostEntry> list;
      for (const std::string& name : names) {
        list.push_back(entry(name, static_cast<HostState>(random() % 3)));
        list.back().origin = name == "h0";
        list.back().weight = static_cast<double>(random() % 40) - 2;
        if (random() % 3 == 0) list.back().start = HostStart::exactly(seconds(step));
      }
      const auto news =
          random() % 4 == 0 && !names.empty()
              ? roster.restore(names[0], {random() % 2 == 0, seconds(step)})
              : roster.on_list(random() % 3 == 0 ? ListKind::kWhole : ListKind::kChanges, list);
      for (const auto& n : news) {
        if (n.kind == Kind::kJoined) {
          ASSERT_TRUE(placed.insert(n.host).second);
        } else if (n.kind == Kind::kLeft) {
          ASSERT_EQ(placed.erase(n.host), 1u);
        } else if (n.kind == Kind::kForgotten) {
          ASSERT_EQ(placed.count(n.host), 0u);
        }
      }
      double weight = 0;
      std::set<Roster::Index> here;
      for (Roster::Index i = 0; i < roster.size(); ++i) {
        if (!roster[i].placed()) continue;
        here.insert(i);
        weight += roster[i].weight;
        ASSERT_GE(roster[i].weight, 0.1);
      }
      ASSERT_EQ(here, placed);
      // Words change no weight, and lists add them all up.
      ASSERT_DOUBLE_EQ(weight, roster.weight());
      if (!here.empty() && random() % 2 == 0) {
        held.push_back(*here.begin());
        roster.hold(held.back());
      } else if (!held.empty()) {
        const auto i = held.back();
        held.pop_back();
        const bool gone = !roster[i].placed();
        if (roster.release(i)) {
          ASSERT_TRUE(gone);
        }
      }
      for (const auto i : held) ASSERT_FALSE(roster[i].id.empty());
    }
  }
}

}  // namespace
}  // namespace silverpin

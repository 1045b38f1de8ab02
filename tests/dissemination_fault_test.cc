// Random schedules of faults, each from a printed seed, and defects that are planted to see that
// the auditor finds them.
#include <gtest/gtest.h>

#include "dissemination_sim.h"

namespace balancer::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DisseminationSim::Shape kShape{2, 6, 48, 16};
constexpr int kSteps = 12;
constexpr int kSeedsATest = 10;

// Kills, restarts, pauses, cuts, loss and sources that are replaced, then all is healed. Returns
// what the auditor has found.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : sim(seed, kShape, settings()) {
    sim.configuration_per_second = 3;
    sim.configuration_keys = 40;
  }

  std::vector<std::string> run() {
    sim.run(seconds(5));
    sim.load(seconds(3600));
    for (int step = 0; step < kSteps; ++step) {
      disturb();
      for (int half_seconds = draw(6); half_seconds >= 0; --half_seconds) {
        sim.run(milliseconds(500));
        sim.audit_watermarks();
      }
    }
    heal();
    sim.run(seconds(5));
    sim.purges_per_second = sim.configuration_per_second = 0;
    if (!sim.run_until([&] { return sim.all_current(); }, seconds(30)))
      sim.errors.push_back("not all are current 30 s after the end");
    sim.run(seconds(5));
    sim.audit_watermarks();
    sim.audit_configuration();
    return sim.errors;
  }

  DisseminationSim sim;

 private:
  static ReplicaSettings settings() {
    ReplicaSettings s;
    s.max_log_entries = {300, 20};
    s.max_replay = {200, 20};
    return s;
  }
  int draw(int below) { return static_cast<int>(sim.random()() % static_cast<unsigned>(below)); }
  int any() { return draw(sim.size()); }
  void cut(const std::vector<int>& members, int part) {
    for (int m : members) sim.set_part(m, part);
  }

  void disturb() {
    switch (draw(9)) {
      case 0:
        return sim.kill(any());
      case 1:
        return sim.restart(any(), draw(3) == 0);
      case 2:
        return sim.pause(any());
      case 3:
        return sim.resume(any());
      case 4:
        return cut(sim.of_site(draw(kShape.sites)), draw(2));
      case 5:
        return cut(sim.of_region(draw(kShape.regions)), draw(2));
      case 6:
        sim.faults = {draw(3) * 0.1, draw(2) * 0.1, draw(2) * 0.2};
        return;
      case 7:
        return replace_source();
      default:
        for (int i = 0; i < 4; ++i) sim.restart(any());
    }
  }
  void replace_source() {
    History known = sim.history();
    sim.kill_source();
    if (draw(2) == 0)
      for (auto& entries : known.entries)
        entries.resize(entries.size() - std::min<std::size_t>(entries.size(), draw(40)));
    if (draw(2) == 0) sim.run(milliseconds(draw(3000)));
    sim.start_source(known, ++term_);
  }
  void heal() {
    sim.faults = {};
    for (int m = 0; m < sim.size(); ++m) {
      sim.set_part(m, 0);
      if (!sim.replica(m))
        sim.restart(m);
      else
        sim.resume(m);
    }
  }

  Term term_ = 1;
};

std::string text(const std::vector<std::string>& errors) {
  std::string all;
  for (const auto& error : errors) all += error + "\n";
  return all;
}

class RandomFaults : public ::testing::TestWithParam<int> {};

TEST_P(RandomFaults, EndInOneStateAndNothingIsReportedThatIsNot) {
  for (int i = 0; i < kSeedsATest; ++i) {
    const auto seed = static_cast<std::uint64_t>(GetParam() * kSeedsATest + i + 1);
    Schedule schedule(seed);
    const auto errors = schedule.run();
    EXPECT_TRUE(errors.empty()) << "seed " << seed << "\n" << text(errors);
  }
}

INSTANTIATE_TEST_SUITE_P(FiveHundredSeeds, RandomFaults, ::testing::Range(0, 50));

// ---- planted

constexpr std::uint64_t kPlantedSeeds = 40;

// Whether the auditor finds something of this kind in one of the schedules.
template <typename Plant>
bool is_found(const Plant& plant, const std::string& what) {
  for (std::uint64_t seed = 1; seed <= kPlantedSeeds; ++seed) {
    Schedule schedule(seed);
    plant(schedule.sim);
    for (const auto& error : schedule.run())
      if (error.find(what) != std::string::npos) return true;
  }
  return false;
}

// A relay that lost an entry numbers those behind it anew, as if there were no gap.
TEST(PlantedDefects, AGapTakenAsDelivered) {
  EXPECT_TRUE(is_found(
      [](DisseminationSim& sim) {
        sim.tamper = [&sim](const MemberId&, const MemberId&, Message& message) {
          auto* batch = std::get_if<Batch>(&message);
          if (!batch || batch->entries.size() < 2 || sim.random()() % 500 > 0) return true;
          std::vector<EntryPtr> renumbered;
          for (std::size_t i = 1; i < batch->entries.size(); ++i) {
            Entry moved = *batch->entries[i];
            moved.sequence = batch->entries[i - 1]->sequence;
            renumbered.push_back(std::make_shared<Entry>(std::move(moved)));
          }
          batch->entries = std::move(renumbered);
          return true;
        };
      },
      "didn't number"));
}

// A site's report takes what its collector has for what all have.
TEST(PlantedDefects, AWatermarkThatCountsUnreachableMembersAsDone) {
  EXPECT_TRUE(is_found(
      [](DisseminationSim& sim) {
        sim.tamper = [&sim](const MemberId& from, const MemberId& to, Message& message) {
          auto* report = std::get_if<Report>(&message);
          if (!report || to != "source") return true;
          for (const Channel channel : kChannels)
            report->in_force[index(channel)] =
                sim.replica(sim.index_of(from))->cursor(channel).sequence;
          return true;
        };
      },
      "reported in force everywhere"));
}

// A source is replaced by one that knows less. Half of a site hears of it late, and the other half
// lacks its first changes and asks neighbours that still hold other ones under the same numbers.
// Where `crosses_terms`, those answer from their log of the earlier term, and the asker believes
// it.
std::vector<std::string> repair_amid_two_terms(bool crosses_terms) {
  DisseminationSim sim(1, kShape);
  sim.run(seconds(5));
  sim.load(seconds(3600));
  sim.run(seconds(10));
  History less = sim.history();
  less.entries[index(Channel::kPurge)].resize(less.entries[index(Channel::kPurge)].size() - 100);
  sim.kill_source();
  sim.start_source(less, 2);
  const Time replaced = sim.now();
  const auto term_of = [&sim](const MemberId& id) {
    const Replica* replica = id == "source" ? nullptr : sim.replica(sim.index_of(id));
    return replica ? replica->cursor(Channel::kPurge).term : 0;
  };
  sim.tamper = [&](const MemberId& from, const MemberId& to, Message& message) {
    if (to == "source" || sim.index_of(to) % kShape.sites != 1) return true;
    auto* batch = std::get_if<Batch>(&message);
    if (batch && batch->oldest == 0) {
      const bool hears_late = sim.index_of(to) / kShape.sites % 2 == 1;
      return sim.now() - replaced > (hears_late ? seconds(4) : seconds(1));
    }
    if (!crosses_terms || from == "source") return true;
    if (auto* request = std::get_if<RangeRequest>(&message)) request->term = term_of(to);
    if (batch && batch->source.term < term_of(to)) batch->source = {term_of(to), {}, {}};
    return true;
  };
  sim.run(seconds(10));
  sim.purges_per_second = sim.configuration_per_second = 0;
  if (!sim.run_until([&] { return sim.all_current(); }, seconds(30)))
    sim.errors.push_back("not all are current");
  return sim.errors;
}

TEST(PlantedDefects, ARepairThatCrossesTerms) {
  EXPECT_EQ(text(repair_amid_two_terms(false)), "");
  EXPECT_NE(text(repair_amid_two_terms(true)).find("didn't number"), std::string::npos);
}

}  // namespace
}  // namespace balancer::dissemination

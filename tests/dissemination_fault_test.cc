// Random schedules of faults, each determined by a seed that is printed on failure, and
// deliberately injected defects that the auditor must detect.
#include <gtest/gtest.h>

#include "dissemination_sim.h"

namespace balancer::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DisseminationSim::Shape kShape{2, 6, 48, 16};
constexpr int kSteps = 12;
constexpr int kSeedsPerTest = 10;

// Kills, restarts and pauses members, partitions the network, loses messages and replaces the
// source; then repairs all faults. run() returns the errors that the auditor found.
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
      inject_fault();
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
  int random_member() { return draw(sim.size()); }
  void cut(const std::vector<int>& members, int part) {
    for (int m : members) sim.set_part(m, part);
  }

  void inject_fault() {
    switch (draw(9)) {
      case 0:
        return sim.kill(random_member());
      case 1:
        return sim.restart(random_member(), draw(3) == 0);
      case 2:
        return sim.pause(random_member());
      case 3:
        return sim.resume(random_member());
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
        for (int i = 0; i < 4; ++i) sim.restart(random_member());
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

TEST_P(RandomFaults, ConvergeToOneStateWithoutFalseReports) {
  for (int i = 0; i < kSeedsPerTest; ++i) {
    const auto seed = static_cast<std::uint64_t>(GetParam() * kSeedsPerTest + i + 1);
    Schedule schedule(seed);
    const auto errors = schedule.run();
    EXPECT_TRUE(errors.empty()) << "seed " << seed << "\n" << text(errors);
  }
}

INSTANTIATE_TEST_SUITE_P(FiveHundredSeeds, RandomFaults, ::testing::Range(0, 50));

// ---- injected defects

constexpr std::uint64_t kDefectSeeds = 40;

// Returns whether the auditor reports an error that contains `what` in one of the schedules.
template <typename Inject>
bool is_detected(const Inject& inject, const std::string& what) {
  for (std::uint64_t seed = 1; seed <= kDefectSeeds; ++seed) {
    Schedule schedule(seed);
    inject(schedule.sim);
    for (const auto& error : schedule.run())
      if (error.find(what) != std::string::npos) return true;
  }
  return false;
}

// A relay that lost an entry renumbers the following entries, as if there were no gap.
TEST(InjectedDefects, AuditorDetectsGapTakenAsDelivered) {
  EXPECT_TRUE(is_detected(
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

// A site's report contains the numbers of its collector instead of the minimum over its members.
TEST(InjectedDefects, AuditorDetectsWatermarkThatIgnoresUnreachableMembers) {
  EXPECT_TRUE(is_detected(
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

// A source is replaced by one that has fewer changes. Half of a site receives its batches late. The
// other half misses its first changes and requests them from neighbours that still have other
// changes under the same numbers. If `crosses_terms`, these neighbours answer from their log of the
// earlier term, and the requesting members accept the answer.
std::vector<std::string> repair_across_two_terms(bool crosses_terms) {
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
      const bool receives_late = sim.index_of(to) / kShape.sites % 2 == 1;
      return sim.now() - replaced > (receives_late ? seconds(4) : seconds(1));
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

TEST(InjectedDefects, AuditorDetectsRepairAcrossTerms) {
  EXPECT_EQ(text(repair_across_two_terms(false)), "");
  EXPECT_NE(text(repair_across_two_terms(true)).find("didn't number"), std::string::npos);
}

}  // namespace
}  // namespace balancer::dissemination

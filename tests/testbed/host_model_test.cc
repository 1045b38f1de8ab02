// Tests the host model in simulated time against values calculated by hand and against properties
// that hold for any work.
#include "testbed/model/host_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "testbed/model/histogram.h"

namespace balancer::testbed {
namespace {

using std::chrono::milliseconds;
using Kind = HostModel::Event::Kind;

HostSpec spec(int cores = 1, int slots = 4, int waiting = 4) {
  HostSpec s;
  s.cores = cores;
  s.slots = slots;
  s.waiting = waiting;
  s.crowded_at = 1000;
  return s;
}

// Runs the model to the end and returns when each job was done.
std::map<Job, Time> finish(HostModel& model, Time now = Time{0}) {
  std::map<Job, Time> done;
  for (;;) {
    for (const auto& e : model.advance(now))
      if (e.kind == Kind::kDone) done[e.job] = e.at;
    const Time next = model.next();
    if (next == kNever) return done;
    now = std::max(now, next);
  }
}

void expect_near(Time t, double ms) { EXPECT_NEAR(millis(t), ms, 0.01); }

TEST(HostModelTest, SharesACoreAmongJobs) {
  HostModel model(spec(), Time{0}, false);
  model.submit(Time{0}, 1, 0.010);
  model.submit(Time{0}, 2, 0.020);
  auto done = finish(model);
  expect_near(done[1], 20);  // half of the core each
  expect_near(done[2], 30);
}

TEST(HostModelTest, GivesEachOfTwoJobsItsOwnCore) {
  HostModel model(spec(2), Time{0}, false);
  model.submit(Time{0}, 1, 0.010);
  model.submit(Time{0}, 2, 0.020);
  auto done = finish(model);
  expect_near(done[1], 10);
  expect_near(done[2], 20);
}

TEST(HostModelTest, ScalesWithSpeedAndSlowness) {
  HostSpec s = spec();
  s.speed = 2;
  HostModel model(s, Time{0}, false);
  model.set_slowness(Time{0}, 4);
  model.submit(Time{0}, 1, 0.010);
  expect_near(finish(model)[1], 20);
}

TEST(HostModelTest, AnswersBusyWhenSlotsAndQueueAreFull) {
  HostModel model(spec(1, 2, 3), Time{0}, false);
  for (Job j = 1; j <= 5; ++j) EXPECT_EQ(model.submit(Time{0}, j, 0.01), HostModel::Answer::kTaken);
  EXPECT_EQ(model.submit(Time{0}, 6, 0.01), HostModel::Answer::kBusy);
  EXPECT_EQ(finish(model).size(), 5u);
}

TEST(HostModelTest, LosesEfficiencyWhenCrowded) {
  HostSpec s = spec(1, 4);
  s.crowded_at = 2;
  s.crowded_loss = 0.25;
  HostModel model(s, Time{0}, false);
  for (Job j = 1; j <= 4; ++j) model.submit(Time{0}, j, 0.010);
  // Four requests per core, two above the limit: half of the efficiency, and all finish together.
  for (const auto& [job, at] : finish(model)) expect_near(at, 80);
}

TEST(HostModelTest, WarmsUpWithTime) {
  HostSpec s = spec();
  s.cold_share = 0.2;
  s.cold_time = std::chrono::seconds(10);
  HostModel model(s, Time{0}, true);
  EXPECT_NEAR(model.warmth(Time{0}), 0.2, 1e-9);
  EXPECT_NEAR(model.warmth(std::chrono::seconds(5)), 0.6, 1e-9);
  EXPECT_NEAR(model.warmth(std::chrono::seconds(20)), 1, 1e-9);
  model.submit(Time{0}, 1, 0.020);
  EXPECT_NEAR(millis(finish(model)[1]), 98, 3);  // a little under 100 ms at the cold share
}

TEST(HostModelTest, WarmsUpWithWorkNoSlowerThanWithTime) {
  HostSpec s = spec(1, 100, 100);
  s.cold_share = 0.8;
  s.cold_time = std::chrono::seconds(10);
  s.warms_by_work = true;
  HostModel idle(s, Time{0}, true), busy(s, Time{0}, true);
  busy.submit(Time{0}, 1, 10);
  busy.advance(std::chrono::seconds(6));
  idle.advance(std::chrono::seconds(6));
  EXPECT_NEAR(idle.warmth(std::chrono::seconds(6)), 0.92, 1e-9);
  EXPECT_GT(busy.warmth(std::chrono::seconds(6)), 0.92);
}

TEST(HostModelTest, FailsWhenOverloadedWhileCold) {
  HostSpec s = spec(2, 1000, 1000);
  s.cold_share = 0.1;
  s.cold_time = std::chrono::seconds(30);
  s.tip_multiple = 3;
  s.tip_time = std::chrono::seconds(3);
  HostModel model(s, Time{0}, true);
  Time now{0};
  // Three times the cold capacity (0.1 of 2 cores) for 3 s: about 1.8 s of work, plus the slack.
  int sent = 0;
  while (model.submit(now, static_cast<Job>(sent + 1), 0.050, sent % 2) !=
         HostModel::Answer::kDown) {
    model.advance(now += milliseconds(10));
    ASSERT_LT(++sent, 100);
  }
  EXPECT_GT(sent, 35);
  EXPECT_TRUE(model.fallen());
  EXPECT_EQ(model.next(), kNever);
  EXPECT_EQ(model.pushed_by().size(), 2u);
  // A warm host accepts the same work.
  HostModel warm(s, Time{0}, false);
  for (Job j = 1; j <= 100; ++j)
    EXPECT_EQ(warm.submit(Time{0}, j, 0.05), HostModel::Answer::kTaken);
}

// The difficult case: requests that waited during a pause are overdue and still run.
TEST(HostModelTest, KeepsItsQueueDuringAPauseAndRunsItAfter) {
  HostModel model(spec(1, 2, 100), Time{0}, false);
  model.submit(Time{0}, 1, 0.010);
  model.advance(milliseconds(5));
  model.freeze(milliseconds(5));
  EXPECT_EQ(model.next(), kNever);
  for (Job j = 2; j <= 9; ++j) {
    model.advance(milliseconds(100));
    EXPECT_EQ(model.submit(milliseconds(100), j, 0.010), HostModel::Answer::kTaken);
  }
  EXPECT_FALSE(model.cancel(milliseconds(200), 5)) << "cancel = none drops nothing";
  EXPECT_TRUE(model.advance(std::chrono::seconds(9)).empty());
  model.thaw(std::chrono::seconds(9));
  const auto done = finish(model, std::chrono::seconds(9));
  EXPECT_EQ(done.size(), 9u);
  expect_near(done.rbegin()->second - std::chrono::seconds(9), 85);
}

TEST(HostModelTest, CancelsOnlyWhatTheHostAllows) {
  for (const Cancel cancel : {Cancel::kNone, Cancel::kQueued, Cancel::kAll}) {
    HostSpec s = spec(1, 1, 10);
    s.cancel = cancel;
    HostModel model(s, Time{0}, false);
    for (Job j = 1; j <= 3; ++j) model.submit(Time{0}, j, 0.010);
    EXPECT_EQ(model.cancel(Time{0}, 1), cancel == Cancel::kAll);
    EXPECT_EQ(model.cancel(Time{0}, 3), cancel != Cancel::kNone);
    const auto done = finish(model);
    EXPECT_EQ(done.count(1), cancel == Cancel::kAll ? 0u : 1u);
    EXPECT_EQ(done.count(2), 1u);
    EXPECT_EQ(done.count(3), cancel == Cancel::kNone ? 1u : 0u);
  }
}

// For any work: each accepted job is done exactly once or dropped by a cancel, and begins before it
// is done; time never decreases; and no more work is done than cores and time allow.
TEST(HostModelTest, DoesEachJobOnceForAnyWork) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    HostSpec s = spec(1 + static_cast<int>(random.below(4)), 1 + static_cast<int>(random.below(8)),
                      static_cast<int>(random.below(10)));
    s.speed = random.uniform(0.3, 2);
    s.crowded_at = random.uniform(0.5, 4);
    s.crowded_loss = random.uniform(0, 0.5);
    s.cold_share = random.uniform(0.05, 1);
    s.cold_time = from_seconds(random.uniform(0, 5));
    s.warms_by_work = random.chance(0.5);
    s.cancel = static_cast<Cancel>(random.below(3));
    HostModel model(s, Time{0}, random.chance(0.5));
    std::map<Job, int> state;  // 1 taken, 2 begun, 3 done, 4 dropped
    Time now{0}, seen{0};
    const auto collect_events = [&] {
      for (const auto& e : model.advance(now)) {
        EXPECT_GE(e.at, seen);
        EXPECT_LE(e.at, now);
        seen = e.at;
        int& is = state[e.job];
        EXPECT_EQ(is, e.kind == Kind::kBegun ? 1 : 2);
        is = e.kind == Kind::kBegun ? 2 : 3;
      }
    };
    Job next = 1;
    for (int step = 0; step < 300; ++step) {
      now += from_seconds(random.exponential(0.01));
      collect_events();
      const double what = random.uniform();
      if (what < 0.7) {
        const Job job = next++;
        state[job] = 1;
        if (model.submit(now, job, random.exponential(0.02)) != HostModel::Answer::kTaken)
          state.erase(job);
      } else if (what < 0.8 && next > 1) {
        const Job job = 1 + random.below(next - 1);
        if (model.cancel(now, job)) {
          collect_events();  // jobs that began before the cancel
          EXPECT_LT(state[job], 3);
          state[job] = 4;
        }
      } else if (what < 0.85) {
        model.freeze(now);
      } else if (what < 0.95) {
        model.thaw(now);
      } else {
        model.set_slowness(now, random.uniform(0.5, 4));
      }
      collect_events();
      EXPECT_LE(model.in_work(), static_cast<std::size_t>(s.slots));
      EXPECT_LE(model.waiting(), static_cast<std::size_t>(s.waiting));
    }
    model.thaw(now);
    for (int i = 0; model.next() != kNever && i < 100'000; ++i) {
      now = std::max(now, model.next());
      collect_events();
    }
    for (const auto& [job, is] : state) EXPECT_GE(is, 3) << "job " << job;
    EXPECT_LE(model.work_done(), 2 * s.cores * s.speed * seconds(now) + 1e-6);
    if (::testing::Test::HasFailure()) return;
  }
}

TEST(ObjectStoreTest, EvictsTheLeastRecentlyUsedFirst) {
  ObjectStore store(3 * (100 + 1 + 64));
  for (const char* key : {"a", "b", "c"}) store.put(key, 100);
  EXPECT_TRUE(store.find("a"));
  store.put("d", 100);
  EXPECT_FALSE(store.find("b"));
  EXPECT_TRUE(store.find("a"));
  EXPECT_TRUE(store.find("d"));
  store.put("huge", 10'000);
  EXPECT_FALSE(store.find("huge"));
  EXPECT_EQ(store.size(), 3u);
  store.drop_if([](const std::string& key) { return key != "d"; });
  EXPECT_EQ(store.size(), 1u);
  store.drop("d");
  EXPECT_EQ(store.bytes(), 0u);
}

// Compares percentiles with those of the sorted list, for random durations.
TEST(HistogramTest, KeepsPercentilesWithinTheErrorBound) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    Histogram h;
    std::vector<double> all;
    for (int i = 0; i < 5000; ++i) {
      const double s = random.lognormal(random.uniform(1e-4, 1), random.uniform(0.1, 3));
      all.push_back(s);
      h.add(from_seconds(s));
    }
    std::sort(all.begin(), all.end());
    for (const double p : {0.01, 0.5, 0.95, 0.99, 0.999}) {
      const double exact = all[static_cast<std::size_t>(std::ceil(p * 5000)) - 1];
      EXPECT_NEAR(seconds(h.percentile(p)), exact, exact / 60 + 2e-6) << "at " << p;
    }
  }
}

}  // namespace
}  // namespace balancer::testbed

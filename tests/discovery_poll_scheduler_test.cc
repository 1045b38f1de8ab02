// The bound on how late a change of the host list is heard of, on a clock that the test moves: the
// client's schedule, the policy's pauses after refused calls, and a service that fails in each way.
#include "recovery/discovery_poll_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "fake_sink.h"
#include "policy/policy.h"

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Mode = DiscoveryPollScheduler::Mode;
using Failure = DiscoveryPollScheduler::Failure;

constexpr Duration kToldAfter = seconds(6);
constexpr Duration kToldAfterWait = seconds(2);  // behind the wait of a watch
constexpr Duration kToldAfterMove = seconds(4);

// What becomes of calls that are out, and of new ones, while the service is in trouble.
enum class Trouble {
  kNone,
  kSilent,       // never answers
  kUnreachable,  // connections never come up
  kReset,        // breaks connections under calls
  kRejected,     // refuses connections
  kTurnedAway,   // answers 503
  kHangsInHead,
  kHangsInBody,
  kDrips,  // a few bytes at a time, for ever
  kCount
};
const char* const kTroubleNames[] = {"none",          "silent",        "unreachable",
                                     "reset",         "refused",       "turned away",
                                     "hangs in head", "hangs in body", "drips"};

// The version behind the trouble.
enum class Versions {
  kChanges,  // higher, told as changes
  kWhole,    // higher, told as a whole list
  kLower,    // counted anew by another service
  kCount
};
const char* const kVersionNames[] = {"changes", "whole", "lower"};

struct Scenario {
  Mode mode = Mode::kPushed;
  Versions versions = Versions::kChanges;
  Duration latency = milliseconds(10);  // of an answer
  Duration max_poll_interval = seconds(10);
};

// One balancer and its service under one clock.
class Simulation : private FakeSink {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        schedule_(scenario.mode, 0, seed),
        policy_(settings(scenario), seed, Time{0}, *this) {
    if (scenario.mode == Mode::kPushed) schedule_.start(now_);
  }

  Time now() const { return now_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t heard_seq() const { return heard_seq_; }
  Time heard_at() const { return heard_at_; }
  // Of the watch that is out; 0 if none is.
  Time watch_over() const { return is_out_ && !call_.whole ? begun_ + call_.wait : Time{0}; }

  void set_trouble(Trouble trouble) {
    trouble_ = trouble;
    if (trouble == Trouble::kNone || !is_out_) return;
    answers_.clear();
    spoil();
  }
  void change(std::uint64_t seq) {
    seq_ = seq;
    if (is_out_ && !call_.whole && trouble_ == Trouble::kNone && !is_spoilt_ && seq_ > call_.index)
      answer_at(now_ + scenario_.latency);
  }
  // The service is at another address from now on.
  void move() {
    hang_up();
    schedule_.restart(now_);
  }
  void run_until(Time end) {
    while (next() <= end) {
      now_ = std::max(now_, next());
      step();
    }
    now_ = end;
  }

 private:
  enum class Event { kConnected, kBytes, kAnswer, kBroken, kRejected };

  static Settings settings(const Scenario& scenario) {
    Settings s;
    s.classes = {{milliseconds(300), milliseconds(750), Idempotency::kIdempotent,
                  DeduplicationScope::kAll, Duration{0}}};
    s.discovery_is_polled = scenario.mode == Mode::kOnRequest;
    s.max_poll_interval = scenario.max_poll_interval;
    return s;
  }

  void set_timer(Time at, std::uint64_t tag) override { policy_timers_.emplace(at, tag); }
  void subscribe() override { schedule_.start(now_); }

  Time next() const {
    Time first = schedule_.next();
    if (!answers_.empty()) first = std::min(first, answers_.begin()->first);
    if (!policy_timers_.empty()) first = std::min(first, policy_timers_.begin()->first);
    return first;
  }
  void step() {
    if (!policy_timers_.empty() && policy_timers_.begin()->first <= now_) {
      const auto tag = policy_timers_.begin()->second;
      policy_timers_.erase(policy_timers_.begin());
      return policy_.on_timer(now_, tag);
    }
    if (!answers_.empty() && answers_.begin()->first <= now_) {
      const Event event = answers_.begin()->second;
      answers_.erase(answers_.begin());
      return on_event(event);
    }
    switch (schedule_.due(now_)) {
      case DiscoveryPollScheduler::Step::kCall:
        return begin();
      case DiscoveryPollScheduler::Step::kCancelCall:
        return fail(Failure::kBroken);
      case DiscoveryPollScheduler::Step::kNothing:
        return;
    }
  }

  void begin() {
    ++calls_;
    call_ = schedule_.begin(now_, is_connected_);
    begun_ = now_;
    is_out_ = true;
    is_spoilt_ = false;
    answers_.clear();
    if (trouble_ != Trouble::kNone) return spoil();
    if (!is_connected_) answers_.emplace(now_, Event::kConnected);
    is_connected_ = true;
    const bool has_answer = call_.whole || seq_ > call_.index;
    answer_at(now_ + scenario_.latency + (has_answer ? Duration{0} : call_.wait));
  }
  void answer_at(Time at) {
    std::erase_if(answers_, [](const auto& a) { return a.second == Event::kAnswer; });
    answers_.emplace(at, Event::kAnswer);
  }
  // What the trouble does to the call that is out. It stays so when the trouble is over.
  void spoil() {
    is_spoilt_ = true;
    const bool comes_up = trouble_ != Trouble::kUnreachable && trouble_ != Trouble::kRejected;
    if (!is_connected_ && comes_up) answers_.emplace(now_, Event::kConnected);
    is_connected_ = is_connected_ || comes_up;
    switch (trouble_) {
      case Trouble::kReset:
      case Trouble::kRejected:
        answers_.emplace(now_ + milliseconds(1), Event::kBroken);
        break;
      case Trouble::kTurnedAway:
        answers_.emplace(now_ + scenario_.latency, Event::kRejected);
        break;
      case Trouble::kHangsInHead:
        answers_.emplace(now_ + milliseconds(1), Event::kBytes);
        break;
      case Trouble::kHangsInBody:
        answers_.emplace(now_ + milliseconds(1), Event::kBytes);
        answers_.emplace(now_ + milliseconds(200), Event::kBytes);
        break;
      case Trouble::kDrips:
        for (int i = 1; i < 600; ++i) answers_.emplace(now_ + i * milliseconds(100), Event::kBytes);
        break;
      default:
        break;
    }
  }

  void on_event(Event event) {
    switch (event) {
      case Event::kConnected:
        return schedule_.on_connected(now_);
      case Event::kBytes:
        return schedule_.on_answer_bytes(now_);
      case Event::kBroken:
        return fail(Failure::kBroken);
      case Event::kRejected:
        return fail(Failure::kRejected);
      case Event::kAnswer:
        return on_answer();
    }
  }
  void on_answer() {
    const bool whole =
        call_.whole || (scenario_.versions == Versions::kWhole && seq_ > call_.index);
    is_out_ = false;
    if (schedule_.on_list(seq_, whole)) {
      if (seq_ != heard_seq_) heard_at_ = now_;
      heard_seq_ = seq_;
    }
    // As the node does: an asked service's answer always reaches the policy.
    policy_.on_hosts(now_, whole ? ListKind::kComplete : ListKind::kChanges, {});
    schedule_.on_answered(now_);
  }
  void hang_up() {
    answers_.clear();
    is_out_ = is_connected_ = false;
  }
  void fail(Failure failure) {
    hang_up();
    if (!schedule_.on_failure(now_, failure)) policy_.on_hosts(now_, ListKind::kRejected, {});
  }

  const Scenario scenario_;
  Time now_{0};
  DiscoveryPollScheduler schedule_;
  std::multimap<Time, std::uint64_t> policy_timers_;
  Policy policy_;
  Trouble trouble_ = Trouble::kNone;
  std::uint64_t seq_ = 41;
  std::multimap<Time, Event> answers_;
  DiscoveryPollScheduler::Call call_;
  Time begun_{0}, heard_at_{0};
  bool is_out_ = false, is_connected_ = false, is_spoilt_ = false;
  std::uint64_t heard_seq_ = 0, calls_ = 0;
};

std::uint64_t version_after(const Scenario& scenario) {
  return scenario.versions == Versions::kLower ? 3 : 42;
}

// How late the change was heard of beyond the bound: not positive if it holds. The trouble is over
// and the change is there from now on.
Duration lateness_behind(Simulation& simulation, const Scenario& scenario) {
  const Time reachable = simulation.now();
  const Time watch_over = simulation.watch_over();
  simulation.set_trouble(Trouble::kNone);
  simulation.change(version_after(scenario));
  simulation.run_until(reachable + seconds(60));
  if (simulation.heard_seq() != version_after(scenario)) return Duration::max();
  Time bound = reachable + kToldAfter;
  if (watch_over > Time{0}) bound = std::max(bound, watch_over + kToldAfterWait);
  return simulation.heard_at() - bound;
}

double in_seconds(Duration d) { return d == Duration::max() ? 1e9 : balancer::seconds(d); }

using Case = std::tuple<Mode, Trouble, Versions>;

class DiscoveryBound : public ::testing::TestWithParam<Case> {};

std::string name_of(const ::testing::TestParamInfo<Case>& info) {
  const auto [mode, trouble, versions] = info.param;
  std::string name = std::string(mode == Mode::kPushed ? "pushed " : "asked ") +
                     kTroubleNames[static_cast<int>(trouble)] + " " +
                     kVersionNames[static_cast<int>(versions)];
  std::erase(name, ' ');
  return name;
}

std::vector<Trouble> all_troubles() {
  std::vector<Trouble> all;
  for (int i = 0; i < static_cast<int>(Trouble::kCount); ++i) all.push_back(Trouble(i));
  return all;
}

INSTANTIATE_TEST_SUITE_P(Orders, DiscoveryBound,
                         ::testing::Combine(::testing::Values(Mode::kPushed, Mode::kOnRequest),
                                            ::testing::ValuesIn(all_troubles()),
                                            ::testing::Values(Versions::kChanges, Versions::kWhole,
                                                              Versions::kLower)),
                         name_of);

// The trouble begins at each moment of a watch's wait and lasts from nothing (calls that are out
// are spoilt, new ones are not) to long enough for every pause to have grown to its longest.
TEST_P(DiscoveryBound, ReceivesAChangeWithinSixSecondsOfTheServicesReturn) {
  const auto [mode, trouble, versions] = GetParam();
  Duration worst = Duration::min();
  for (const Duration max_poll_interval :
       {Duration(seconds(10)), Duration(seconds(60)), Duration(0)}) {
    if (mode == Mode::kPushed && max_poll_interval != seconds(10)) continue;
    const Scenario scenario{mode, versions, milliseconds(mode == Mode::kPushed ? 10 : 400),
                            max_poll_interval};
    std::uint64_t seed = 0;
    for (Time from = seconds(10); from < seconds(16); from += milliseconds(230)) {
      for (const int lasts_ms : {0, 300, 1700, 2900, 5600, 11'000, 40'000}) {
        Simulation simulation(scenario, ++seed);
        simulation.run_until(from);
        simulation.set_trouble(trouble);
        simulation.run_until(from + milliseconds(lasts_ms));
        const Duration late = lateness_behind(simulation, scenario);
        worst = std::max(worst, late);
        ASSERT_LE(in_seconds(late), 0)
            << "trouble from " << in_seconds(from) << " s for " << lasts_ms << " ms, ask_within "
            << in_seconds(max_poll_interval) << " s, seed " << seed;
      }
    }
  }
  RecordProperty("left_of_the_bound_ms", std::to_string(-worst / milliseconds(1)));
}

class DiscoveryMode : public ::testing::TestWithParam<Mode> {};
std::string name_of_mode(const ::testing::TestParamInfo<Mode>& info) {
  return info.param == Mode::kPushed ? "pushed" : "asked";
}
INSTANTIATE_TEST_SUITE_P(Both, DiscoveryMode, ::testing::Values(Mode::kPushed, Mode::kOnRequest),
                         name_of_mode);

// A scenario and its troubles, drawn from a seed.
class Draw {
 public:
  Draw(Mode mode, std::uint64_t seed) : random_(seed) {
    scenario.mode = mode;
    scenario.versions = Versions(up_to(static_cast<int>(Versions::kCount) - 1));
    scenario.latency = milliseconds(up_to(mode == Mode::kPushed ? 100 : 700));
    scenario.max_poll_interval = seconds(up_to(120));
  }
  int up_to(int most) { return static_cast<int>(random_() % (most + 1)); }
  Trouble trouble() { return Trouble(up_to(static_cast<int>(Trouble::kCount) - 1)); }
  // Of a service that has worked so far.
  Time begin() { return seconds(14) + milliseconds(up_to(6000)); }

  Scenario scenario;

 private:
  std::mt19937_64 random_;
};

// Troubles of all kinds one behind the other, of any length.
TEST_P(DiscoveryMode, KeepsTheBoundUnderAnyOrderOfFaults) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    Draw draw(GetParam(), seed);
    Simulation simulation(draw.scenario, seed);
    simulation.run_until(draw.begin());
    for (int n = 1 + draw.up_to(4); n > 0; --n) {
      simulation.set_trouble(draw.trouble());
      simulation.run_until(simulation.now() + milliseconds(draw.up_to(draw.up_to(12'000))));
    }
    ASSERT_LE(in_seconds(lateness_behind(simulation, draw.scenario)), 0) << "seed " << seed;
  }
}

// A new configuration names another address: whatever became of calls to the old one, and whatever
// its versions were, the new one's list is heard within 4 s.
TEST_P(DiscoveryMode, ReceivesFromAServiceThatMovedWithinFourSeconds) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    Draw draw(GetParam(), seed);
    Simulation simulation(draw.scenario, seed);
    simulation.run_until(draw.begin());
    simulation.set_trouble(draw.trouble());
    simulation.run_until(simulation.now() + milliseconds(draw.up_to(20'000)));
    const Time moved = simulation.now();
    simulation.set_trouble(Trouble::kNone);
    simulation.change(version_after(draw.scenario));
    simulation.move();
    simulation.run_until(moved + seconds(30));
    ASSERT_EQ(simulation.heard_seq(), version_after(draw.scenario)) << "seed " << seed;
    ASSERT_LE(in_seconds(simulation.heard_at() - moved), in_seconds(kToldAfterMove))
        << "seed " << seed;
  }
}

// A list of megabytes over a slow link takes longer than silence is borne, and is heard all the
// same.
TEST_P(DiscoveryMode, DoesNotCancelAListThatComesSlowlyButSteadily) {
  DiscoveryPollScheduler schedule(GetParam(), 0, 1);
  schedule.start(Time{0});
  schedule.begin(Time{0}, false);
  schedule.on_connected(milliseconds(5));
  for (Time at = milliseconds(100); at <= milliseconds(2900); at += milliseconds(400)) {
    ASSERT_EQ(schedule.due(at), DiscoveryPollScheduler::Step::kNothing) << in_seconds(at);
    schedule.on_answer_bytes(at);
  }
  EXPECT_TRUE(schedule.on_list(41, true));
  EXPECT_EQ(schedule.on_answered(milliseconds(2900)), milliseconds(2900));
}

// What the bound costs: a service that is away is not called in a busy loop, whatever the settings.
TEST_P(DiscoveryMode, CallsAServiceThatIsAwayAtABoundedRate) {
  for (const int max_poll_interval : {0, 10, 60}) {
    Scenario scenario;
    scenario.mode = GetParam();
    scenario.max_poll_interval = seconds(max_poll_interval);
    Simulation simulation(scenario, 1);
    simulation.run_until(seconds(20));
    simulation.set_trouble(Trouble::kRejected);
    const auto before = simulation.calls();
    simulation.run_until(seconds(120));
    const double rate = static_cast<double>(simulation.calls() - before) / 100;
    const double most = scenario.mode == Mode::kPushed ? 2.2 : max_poll_interval == 0 ? 1.5 : 0.8;
    EXPECT_LE(rate, most) << "calls a second, ask_within " << max_poll_interval;
    EXPECT_GE(rate, 0.5) << "calls a second, ask_within " << max_poll_interval;
  }
}

}  // namespace
}  // namespace balancer::recovery

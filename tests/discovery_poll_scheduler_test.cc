// Tests the upper bound on the time until a change of the host list is received, on a simulated
// clock: the scheduler, the policy's backoff after rejected calls, and a service with each kind of
// fault.
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

constexpr Duration kMaxDelay = seconds(6);
constexpr Duration kMaxDelayAfterWait = seconds(2);  // after the end of the wait of a watch
constexpr Duration kMaxDelayAfterMove = seconds(4);

// Effect of a fault of the service on the calls in flight and on new calls.
enum class Fault {
  kNone,
  kSilent,       // never answers
  kUnreachable,  // connections are never established
  kReset,        // resets connections during calls
  kRefused,      // refuses connections
  kUnavailable,  // answers 503
  kHangsInHead,
  kHangsInBody,
  kDrips,  // sends a few bytes at a time and never finishes
  kCount
};
const char* const kFaultNames[] = {"none",          "silent",        "unreachable",
                                   "reset",         "refused",       "unavailable",
                                   "hangs in head", "hangs in body", "drips"};

// Version of the host list after the fault.
enum class Versions {
  kChanges,  // higher, sent as changes
  kWhole,    // higher, sent as a complete list
  kLower,    // lower, since another service numbers its versions independently
  kCount
};
const char* const kVersionNames[] = {"changes", "whole", "lower"};

struct Scenario {
  Mode mode = Mode::kPushed;
  Versions versions = Versions::kChanges;
  Duration latency = milliseconds(10);  // until an answer
  Duration max_poll_interval = seconds(10);
};

// Simulates one balancer and its discovery service on one clock.
class Simulation : private FakeSink {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        scheduler_(scenario.mode, 0, seed),
        policy_(settings(scenario), seed, Time{0}, *this) {
    if (scenario.mode == Mode::kPushed) scheduler_.start(now_);
  }

  Time now() const { return now_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t received_seq() const { return received_seq_; }
  Time received_at() const { return received_at_; }
  // Returns the end of the wait of the watch in flight; 0 if there is none.
  Time watch_end() const {
    return is_in_flight_ && !call_.wants_complete_list ? call_began_at_ + call_.wait : Time{0};
  }

  void set_fault(Fault fault) {
    fault_ = fault;
    if (fault == Fault::kNone || !is_in_flight_) return;
    answers_.clear();
    apply_fault();
  }
  void change(std::uint64_t seq) {
    seq_ = seq;
    if (is_in_flight_ && !call_.wants_complete_list && fault_ == Fault::kNone && !is_affected_ &&
        seq_ > call_.known_version)
      answer_at(now_ + scenario_.latency);
  }
  // Moves the service to another address.
  void move() {
    disconnect();
    scheduler_.restart(now_);
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
  void poll_endpoint_list() override { scheduler_.start(now_); }

  Time next() const {
    Time first = scheduler_.next();
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
    switch (scheduler_.due(now_)) {
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
    call_ = scheduler_.begin(now_, is_connected_);
    call_began_at_ = now_;
    is_in_flight_ = true;
    is_affected_ = false;
    answers_.clear();
    if (fault_ != Fault::kNone) return apply_fault();
    if (!is_connected_) answers_.emplace(now_, Event::kConnected);
    is_connected_ = true;
    const bool has_answer = call_.wants_complete_list || seq_ > call_.known_version;
    answer_at(now_ + scenario_.latency + (has_answer ? Duration{0} : call_.wait));
  }
  void answer_at(Time at) {
    std::erase_if(answers_, [](const auto& a) { return a.second == Event::kAnswer; });
    answers_.emplace(at, Event::kAnswer);
  }
  // Applies the fault to the call in flight. The call remains affected after the fault has ended.
  void apply_fault() {
    is_affected_ = true;
    const bool connects = fault_ != Fault::kUnreachable && fault_ != Fault::kRefused;
    if (!is_connected_ && connects) answers_.emplace(now_, Event::kConnected);
    is_connected_ = is_connected_ || connects;
    switch (fault_) {
      case Fault::kReset:
      case Fault::kRefused:
        answers_.emplace(now_ + milliseconds(1), Event::kBroken);
        break;
      case Fault::kUnavailable:
        answers_.emplace(now_ + scenario_.latency, Event::kRejected);
        break;
      case Fault::kHangsInHead:
        answers_.emplace(now_ + milliseconds(1), Event::kBytes);
        break;
      case Fault::kHangsInBody:
        answers_.emplace(now_ + milliseconds(1), Event::kBytes);
        answers_.emplace(now_ + milliseconds(200), Event::kBytes);
        break;
      case Fault::kDrips:
        for (int i = 1; i < 600; ++i) answers_.emplace(now_ + i * milliseconds(100), Event::kBytes);
        break;
      default:
        break;
    }
  }

  void on_event(Event event) {
    switch (event) {
      case Event::kConnected:
        return scheduler_.on_connected(now_);
      case Event::kBytes:
        return scheduler_.on_answer_bytes(now_);
      case Event::kBroken:
        return fail(Failure::kBroken);
      case Event::kRejected:
        return fail(Failure::kRejected);
      case Event::kAnswer:
        return on_answer();
    }
  }
  void on_answer() {
    const bool whole = call_.wants_complete_list ||
                       (scenario_.versions == Versions::kWhole && seq_ > call_.known_version);
    is_in_flight_ = false;
    if (scheduler_.on_list(seq_, whole)) {
      if (seq_ != received_seq_) received_at_ = now_;
      received_seq_ = seq_;
    }
    // As in the node, every answer is passed to the policy.
    policy_.on_hosts(now_, whole ? ListKind::kComplete : ListKind::kChanges, {});
    scheduler_.on_answered(now_);
  }
  void disconnect() {
    answers_.clear();
    is_in_flight_ = is_connected_ = false;
  }
  void fail(Failure failure) {
    disconnect();
    if (!scheduler_.on_failure(now_, failure)) policy_.on_hosts(now_, ListKind::kRejected, {});
  }

  const Scenario scenario_;
  Time now_{0};
  DiscoveryPollScheduler scheduler_;
  std::multimap<Time, std::uint64_t> policy_timers_;
  Policy policy_;
  Fault fault_ = Fault::kNone;
  std::uint64_t seq_ = 41;
  std::multimap<Time, Event> answers_;
  DiscoveryPollScheduler::Call call_;
  Time call_began_at_{0}, received_at_{0};
  bool is_in_flight_ = false, is_connected_ = false, is_affected_ = false;
  std::uint64_t received_seq_ = 0, calls_ = 0;
};

std::uint64_t version_after(const Scenario& scenario) {
  return scenario.versions == Versions::kLower ? 3 : 42;
}

// Ends the fault, publishes a change, and returns by how much the change was received later than
// the bound allows; at most 0 if the bound is kept.
Duration lateness_after_fault(Simulation& simulation, const Scenario& scenario) {
  const Time reachable = simulation.now();
  const Time watch_end = simulation.watch_end();
  simulation.set_fault(Fault::kNone);
  simulation.change(version_after(scenario));
  simulation.run_until(reachable + seconds(60));
  if (simulation.received_seq() != version_after(scenario)) return Duration::max();
  Time bound = reachable + kMaxDelay;
  if (watch_end > Time{0}) bound = std::max(bound, watch_end + kMaxDelayAfterWait);
  return simulation.received_at() - bound;
}

double in_seconds(Duration d) { return d == Duration::max() ? 1e9 : balancer::seconds(d); }

using Case = std::tuple<Mode, Fault, Versions>;

class DiscoveryPollBoundTest : public ::testing::TestWithParam<Case> {};

std::string name_of(const ::testing::TestParamInfo<Case>& info) {
  const auto [mode, fault, versions] = info.param;
  std::string name = std::string(mode == Mode::kPushed ? "pushed " : "polled ") +
                     kFaultNames[static_cast<int>(fault)] + " " +
                     kVersionNames[static_cast<int>(versions)];
  std::erase(name, ' ');
  return name;
}

std::vector<Fault> all_faults() {
  std::vector<Fault> all;
  for (int i = 0; i < static_cast<int>(Fault::kCount); ++i) all.push_back(Fault(i));
  return all;
}

INSTANTIATE_TEST_SUITE_P(Faults, DiscoveryPollBoundTest,
                         ::testing::Combine(::testing::Values(Mode::kPushed, Mode::kOnRequest),
                                            ::testing::ValuesIn(all_faults()),
                                            ::testing::Values(Versions::kChanges, Versions::kWhole,
                                                              Versions::kLower)),
                         name_of);

// The fault starts at various instants of a watch's wait. It lasts from 0 ms, which affects only
// the call in flight, to long enough for every backoff to reach its maximum.
TEST_P(DiscoveryPollBoundTest, ReceivesAChangeWithinSixSecondsOfTheServicesRecovery) {
  const auto [mode, fault, versions] = GetParam();
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
        simulation.set_fault(fault);
        simulation.run_until(from + milliseconds(lasts_ms));
        const Duration late = lateness_after_fault(simulation, scenario);
        worst = std::max(worst, late);
        ASSERT_LE(in_seconds(late), 0)
            << "fault from " << in_seconds(from) << " s for " << lasts_ms
            << " ms, max_poll_interval " << in_seconds(max_poll_interval) << " s, seed " << seed;
      }
    }
  }
  RecordProperty("left_of_the_bound_ms", std::to_string(-worst / milliseconds(1)));
}

class DiscoveryPollModeTest : public ::testing::TestWithParam<Mode> {};
std::string name_of_mode(const ::testing::TestParamInfo<Mode>& info) {
  return info.param == Mode::kPushed ? "pushed" : "polled";
}
INSTANTIATE_TEST_SUITE_P(Modes, DiscoveryPollModeTest,
                         ::testing::Values(Mode::kPushed, Mode::kOnRequest), name_of_mode);

// Draws a scenario and its faults at random.
class RandomScenario {
 public:
  RandomScenario(Mode mode, std::uint64_t seed) : random_(seed) {
    scenario.mode = mode;
    scenario.versions = Versions(up_to(static_cast<int>(Versions::kCount) - 1));
    scenario.latency = milliseconds(up_to(mode == Mode::kPushed ? 100 : 700));
    scenario.max_poll_interval = seconds(up_to(120));
  }
  int up_to(int max) { return static_cast<int>(random_() % (max + 1)); }
  Fault fault() { return Fault(up_to(static_cast<int>(Fault::kCount) - 1)); }
  // Returns the start time of the first fault; the service works until then.
  Time begin() { return seconds(14) + milliseconds(up_to(6000)); }

  Scenario scenario;

 private:
  std::mt19937_64 random_;
};

// Several random faults in sequence, of random lengths.
TEST_P(DiscoveryPollModeTest, KeepsTheBoundUnderRandomSequencesOfFaults) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    RandomScenario draw(GetParam(), seed);
    Simulation simulation(draw.scenario, seed);
    simulation.run_until(draw.begin());
    for (int n = 1 + draw.up_to(4); n > 0; --n) {
      simulation.set_fault(draw.fault());
      simulation.run_until(simulation.now() + milliseconds(draw.up_to(draw.up_to(12'000))));
    }
    ASSERT_LE(in_seconds(lateness_after_fault(simulation, draw.scenario)), 0) << "seed " << seed;
  }
}

// A new configuration names another address. The list of the new service must be received within 4
// s, regardless of the state of calls to the old service and of its versions.
TEST_P(DiscoveryPollModeTest, ReceivesTheListOfAMovedServiceWithinFourSeconds) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    RandomScenario draw(GetParam(), seed);
    Simulation simulation(draw.scenario, seed);
    simulation.run_until(draw.begin());
    simulation.set_fault(draw.fault());
    simulation.run_until(simulation.now() + milliseconds(draw.up_to(20'000)));
    const Time moved = simulation.now();
    simulation.set_fault(Fault::kNone);
    simulation.change(version_after(draw.scenario));
    simulation.move();
    simulation.run_until(moved + seconds(30));
    ASSERT_EQ(simulation.received_seq(), version_after(draw.scenario)) << "seed " << seed;
    ASSERT_LE(in_seconds(simulation.received_at() - moved), in_seconds(kMaxDelayAfterMove))
        << "seed " << seed;
  }
}

// Receiving a list of megabytes over a slow link takes longer than the time-out for silence. The
// call must not be cancelled while bytes arrive.
TEST_P(DiscoveryPollModeTest, DoesNotCancelAListThatArrivesSlowlyButSteadily) {
  DiscoveryPollScheduler scheduler(GetParam(), 0, 1);
  scheduler.start(Time{0});
  scheduler.begin(Time{0}, false);
  scheduler.on_connected(milliseconds(5));
  for (Time at = milliseconds(100); at <= milliseconds(2900); at += milliseconds(400)) {
    ASSERT_EQ(scheduler.due(at), DiscoveryPollScheduler::Step::kNothing) << in_seconds(at);
    scheduler.on_answer_bytes(at);
  }
  EXPECT_TRUE(scheduler.on_list(41, true));
  EXPECT_EQ(scheduler.on_answered(milliseconds(2900)), milliseconds(2900));
}

// An unavailable service must not be called in a busy loop, whatever the settings are.
TEST_P(DiscoveryPollModeTest, CallsAnUnavailableServiceAtABoundedRate) {
  for (const int max_poll_interval : {0, 10, 60}) {
    Scenario scenario;
    scenario.mode = GetParam();
    scenario.max_poll_interval = seconds(max_poll_interval);
    Simulation simulation(scenario, 1);
    simulation.run_until(seconds(20));
    simulation.set_fault(Fault::kRefused);
    const auto before = simulation.calls();
    simulation.run_until(seconds(120));
    const double rate = static_cast<double>(simulation.calls() - before) / 100;
    const double max_rate = scenario.mode == Mode::kPushed ? 2.2
                            : max_poll_interval == 0       ? 1.5
                                                           : 0.8;
    EXPECT_LE(rate, max_rate) << "calls per second, max_poll_interval " << max_poll_interval;
    EXPECT_GE(rate, 0.5) << "calls per second, max_poll_interval " << max_poll_interval;
  }
}

}  // namespace
}  // namespace balancer::recovery

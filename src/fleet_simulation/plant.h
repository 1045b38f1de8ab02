#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/policy.h"
#include "testbed/audit/cold_load.h"
#include "testbed/audit/counters.h"
#include "testbed/model/arrivals.h"
#include "testbed/model/host_model.h"
#include "testbed/model/scenario.h"

// The whole fleet under one simulated clock: clients, balancers with the real Policy each, hosts
// and origin as the rig has them. No sockets, no threads: a scenario and its seed give one result
// on any machine. Made to measure control loops on: their signals are kept by time beside what came
// of it.
namespace balancer::fleet_simulation {

struct Options {
  // Loops held still, to see which of them swings against which: so far open, for the whole run.
  std::optional<double> origin_held, caches_held;
  Duration way = std::chrono::microseconds(60);  // one way between any two
  Duration sampled = std::chrono::milliseconds(500);
  // Coefficient of variation of the balancers' parts of the traffic; 0: all get the same.
  double unevenness = 0;
  // A planted defect: balancers take cold hosts for warm.
  bool ignores_warmth = false;
};

// What the loops did in one span of `Options::sampled`.
struct Sample {
  Time at{0};                                // its end
  double origin_open = 0, caches_open = 0;   // mean over balancers
  double origin_least = 1, origin_most = 0;  // among them
  int fetches = 0, writes = 0;               // that the origin ended
  double origin_time = 0;                    // mean of those fetches, seconds
  double origin_worst = 0;                   // of them
  std::size_t origin_queue = 0;              // in work and waiting there, at the end
  int tries = 0;                             // that balancers took
  int refused_on_arrival = 0, refused_later = 0, failed = 0;
  double caches_busy = 0;  // work done a second, in parts of what all could do
};

class Plant {
 public:
  // `scenario` outlives it. Throws std::invalid_argument for incidents that it does not play: it
  // has hosts and origin that are killed, restarted, slow, hung or flushed, balancers that are
  // killed, and all that clients do.
  Plant(const testbed::Scenario& scenario, const Options& options);
  ~Plant();

  void run();  // to the scenario's end, once

  const testbed::Tally& tally() const { return tally_; }
  const std::vector<Sample>& samples() const { return samples_; }
  int fallen() const { return fallen_; }  // cold hosts that were pushed over
  const testbed::ColdLoads& cold_loads() const { return cold_loads_; }
  // Answers: each try has to get exactly one while its balancer lives.
  std::uint64_t tries() const { return tries_sent_; }
  std::uint64_t answers() const { return answers_; }
  std::uint64_t excused() const { return excused_; }  // their balancer was killed
  std::uint64_t attempts() const { return attempts_sent_; }

 private:
  struct Balancer;
  struct Host;
  struct Call;
  struct Try;
  struct Attempt;
  using CallPtr = std::shared_ptr<Call>;

  struct Event {
    Time at;
    std::uint64_t number;  // of two at one time the first made comes first
    std::function<void()> act;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  void after(Duration wait, std::function<void()> act);
  void at(Time time, std::function<void()> act);

  // clients
  void arrive();
  void start_try(const CallPtr& call);
  void try_over(const CallPtr& call, testbed::End how, Duration retry_after);
  void end(const CallPtr& call, testbed::End how);
  int deal(int zone);
  // balancers
  void start_balancer(int b);
  void kill_balancer(int b);
  void tell_all(const HostEntry& entry, const std::string& id);
  std::vector<HostEntry> whole_list() const;
  void submit(int b, std::uint64_t id, const CallPtr& call, Time until);
  void send(int b, RequestId id, std::string_view host, Time until);
  void finish(RequestId id, testbed::End how, Duration retry_after);
  void attempt_over(std::uint64_t attempt, Result result);
  void set_timer(int b, Time time, std::uint64_t tag);
  // hosts
  void take(std::uint64_t attempt);
  void step(std::size_t host);
  void done(std::uint64_t attempt);
  void answer(std::uint64_t attempt, Result result);
  void start_host(std::size_t host, bool cold);
  void kill_host(std::size_t host);
  void strike(const testbed::IncidentSpec& incident);
  std::vector<std::size_t> struck(const testbed::IncidentSpec& incident) const;
  HostEntry entry_of(std::size_t host) const;

  void sample();
  void hold();

  const testbed::Scenario& scenario_;
  const Options options_;
  Settings settings_;
  testbed::Random random_;
  testbed::Arrivals arrivals_;
  testbed::Tally tally_;
  testbed::ColdLoads cold_loads_;
  Time now_{0};
  std::uint64_t next_event_ = 0, next_request_ = 1, next_attempt_ = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::vector<std::unique_ptr<Host>> hosts_;  // the last is the origin
  std::unordered_map<RequestId, Try> tries_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<RequestId, std::vector<std::size_t>> missed_;
  std::deque<RequestId> missed_order_;
  std::vector<Sample> samples_;
  Sample present_;
  double work_done_before_ = 0;
  std::uint64_t tries_sent_ = 0, answers_ = 0, excused_ = 0, attempts_sent_ = 0;
  int fallen_ = 0;
};

}  // namespace balancer::fleet_simulation

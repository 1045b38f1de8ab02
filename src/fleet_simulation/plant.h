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

// Simulation of a whole fleet under one simulated clock: clients, balancers that each run the real
// Policy, and the testbed's models of hosts and origin. No sockets, no threads: a scenario and its
// seed give the same result on any machine. Intended for measuring control loops: it records their
// signals over time, together with their effects.
namespace balancer::fleet_simulation {

struct Options {
  // If set, fixes the admit fraction of the origin or of the caches for the whole run, which shows
  // which control loops oscillate against each other.
  std::optional<double> fixed_origin_admit_fraction, fixed_caches_admit_fraction;
  // Network delay between any two processes.
  Duration one_way_delay = std::chrono::microseconds(60);
  Duration sample_period = std::chrono::milliseconds(500);
  // Coefficient of variation of the balancers' shares of the traffic; 0: equal shares.
  double unevenness = 0;
  // Injected defect: balancers treat cold hosts as warm.
  bool ignores_warmth = false;
};

// State of the control loops in one period of `Options::sample_period`.
struct Sample {
  Time at{0};  // end of the period
  // Admit fractions: mean over the balancers, and the origin's least and greatest.
  double origin_admit_fraction = 0, caches_admit_fraction = 0;
  double origin_fraction_min = 1, origin_fraction_max = 0;
  int fetches = 0, writes = 0;   // completed by the origin
  double mean_fetch_time = 0;    // of those fetches, seconds
  double max_fetch_time = 0;     // of those fetches, seconds
  std::size_t origin_queue = 0;  // requests in progress or waiting there, at the end of the period
  int tries = 0;                 // received by balancers
  int refused_on_arrival = 0, refused_later = 0, failed = 0;
  // Work done per second, as a fraction of the capacity of all cache hosts.
  double caches_busy = 0;
};

// Runs one scenario. Uses one policy object for each balancer.
class Plant {
 public:
  // `scenario` must outlive the plant. Throws std::invalid_argument for unsupported incidents.
  // Supported are hosts and origin that are killed, restarted, slowed down, hung or flushed,
  // balancers that are killed, and bursts and changes of demand.
  Plant(const testbed::Scenario& scenario, const Options& options);
  ~Plant();

  void run();  // runs the scenario to its end; call it once

  const testbed::Tally& tally() const { return tally_; }
  const std::vector<Sample>& samples() const { return samples_; }
  int fallen() const { return fallen_; }  // number of times that a cold host collapsed under load
  const testbed::ColdLoads& cold_loads() const { return cold_loads_; }
  // Each try must get exactly one answer unless its balancer is killed.
  std::uint64_t tries() const { return tries_sent_; }
  std::uint64_t answers() const { return answers_; }
  std::uint64_t excused() const { return excused_; }  // tries whose balancer was killed
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
    std::uint64_t number;  // events at the same time run in order of creation
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
  int pick_balancer(int zone);
  // balancers
  void start_balancer(int b);
  void kill_balancer(int b);
  void notify_balancers(const HostEntry& entry, const std::string& id);
  std::vector<HostEntry> complete_host_list() const;
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
  void start_incident(const testbed::IncidentSpec& incident);
  std::vector<std::size_t> affected_hosts(const testbed::IncidentSpec& incident) const;
  HostEntry entry_of(std::size_t host) const;

  void sample();
  void restore_held_fractions();

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
  std::vector<std::unique_ptr<Host>> hosts_;  // the last host is the origin
  std::unordered_map<RequestId, Try> tries_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<RequestId, std::vector<std::size_t>> missed_hosts_;
  std::deque<RequestId> missed_order_;
  std::vector<Sample> samples_;
  Sample current_sample_;
  double work_done_before_ = 0;
  std::uint64_t tries_sent_ = 0, answers_ = 0, excused_ = 0, attempts_sent_ = 0;
  int fallen_ = 0;
};

}  // namespace balancer::fleet_simulation

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// What each cold host is sent by all balancers together, held against its budget: in any window of
// `tip_time` at most N requests of mean work, where N is `tip_multiple` times what its present
// capacity comes to in that window, and 2 sqrt(N) + 2 more that are put down to chance. A request
// counts with its whole work, also where it misses or is turned away. No I/O.
class ColdLoads {
 public:
  explicit ColdLoads(const Scenario& scenario);

  // The fullest window of one start, measured against its bound.
  struct Peak {
    std::string host;
    Time started{0}, at{0};
    double requests = 0;  // of mean work
    double budget = 0;    // N
    double bound() const;
    double part_of_bound() const { return requests / bound(); }
  };

  // A process with a cold cache takes the place of any earlier one of this host.
  void on_start(Time now, int host, const std::string& name, const HostSpec& spec);
  // `warmth`: the host's share of its full capacity. True: this request is the first beyond the
  // bound since the host's start.
  bool on_request(Time now, int host, double work, double warmth, int balancer);

  // Seconds of work in the present window, by balancer.
  std::map<int, double> by_balancer(int host) const;
  std::vector<Peak> peaks() const;  // of every start, in order

 private:
  struct Sent {
    Time at;
    double work;
    int balancer;
  };
  struct Start {
    HostSpec spec;
    std::deque<Sent> window;
    double work = 0;  // sum of `window`
    bool over = false;
    Peak peak;
  };

  double mean_work_ = 0;  // of requests that cache hosts are asked for, seconds
  std::vector<Start> starts_;
  std::map<int, std::size_t> latest_;  // by host: its place in `starts_`
};

}  // namespace balancer::testbed

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// Compares the load that all balancers together send to each cold host with its budget: in any
// window of `tip_time` at most N requests of mean work, where N is `tip_multiple` times the work
// that the host's current capacity does in that window, plus 2 sqrt(N) + 2 requests that are
// attributed to chance. A request counts with its whole work, also if it misses or is rejected as
// busy. Performs no I/O.
class ColdLoads {
 public:
  explicit ColdLoads(const Scenario& scenario);

  // The window of one start with the highest load relative to its bound.
  struct Peak {
    std::string host;
    Time started{0}, at{0};
    double requests = 0;  // in units of mean work
    double budget = 0;    // N
    double bound() const;
    double share_of_bound() const { return requests / bound(); }
  };

  // Registers a host process with a cold cache, which replaces any earlier process of this host.
  void on_start(Time now, int host, const std::string& name, const HostSpec& spec);
  // Registers a request. `warmth`: the share of its full capacity that the host has. Returns true
  // if this request is the first beyond the bound since the host's start.
  bool on_request(Time now, int host, double work, double warmth, int balancer);

  // Returns the seconds of work in the current window, by balancer.
  std::map<int, double> by_balancer(int host) const;
  std::vector<Peak> peaks() const;  // one for each start, in order

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
    bool exceeded = false;
    Peak peak;
  };

  double mean_work_ = 0;  // of the reads that cache hosts serve, in seconds
  std::vector<Start> starts_;
  std::map<int, std::size_t> latest_;  // by host: index in `starts_` of its latest start
};

}  // namespace balancer::testbed

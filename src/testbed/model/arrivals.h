#pragma once

#include <string>
#include <vector>

#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// A client request, drawn ahead of time.
struct Wish {
  Time due{0};
  int request_class = 0, tenant = 0, zone = 0;
  std::string key;
  double work = 0;  // seconds on a core of speed 1
  double hint = 0;  // the work that the client states, in seconds; 0: none
  std::uint64_t number = 0;
  std::uint64_t seed = 0;  // for the client's random behaviour
};

// The stream of client requests: a Poisson process whose rate follows the scenario. It depends on
// the scenario's seed only, and on nothing that happens in the run. Performs no I/O.
class Arrivals {
 public:
  explicit Arrivals(const Scenario& scenario);

  Wish next();                // in order of due time; does not stop at the scenario's end
  double rate(Time t) const;  // first tries per second
  double highest_rate() const { return max_rate_; }
  std::vector<std::string> popular() const;  // the keys at the start, most requested last

 private:
  double tenant_weight(std::size_t tenant, Time t) const;
  std::string draw_key(Time t);
  static std::string key_text(std::uint64_t n);

  const Scenario& scenario_;
  Random random_;
  Time at_{0};
  double max_rate_ = 0;
  std::uint64_t next_number_ = 0;
  std::vector<double> classes_, zones_, ranks_;  // cumulative
  std::vector<std::uint64_t> keys_;              // by rank
  std::uint64_t next_key_ = 0;
  double pending_drifts_ = 0;
  Time drifted_at_{0};
};

}  // namespace balancer::testbed

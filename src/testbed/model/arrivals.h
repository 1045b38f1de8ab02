#pragma once

#include <string>
#include <vector>

#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// One wish of a client, drawn ahead of time.
struct Wish {
  Time due{0};
  int request_class = 0, tenant = 0, zone = 0;
  std::string key;
  double work = 0;  // seconds on a core of speed 1
  double hint = 0;  // what the client says of it; 0: nothing
  std::uint64_t number = 0;
  std::uint64_t seed = 0;  // of what its client does by chance
};

// The stream of wishes: a Poisson process whose rate follows the scenario, drawn from its seed and
// from nothing that happens in the run. No I/O.
class Arrivals {
 public:
  explicit Arrivals(const Scenario& scenario);

  Wish next();                // due ever later; beyond the scenario's end there is no stop
  double rate(Time t) const;  // first tries a second
  double highest_rate() const { return highest_; }
  std::vector<std::string> popular() const;  // keys at the start, the most wanted last

 private:
  double tenant_weight(std::size_t tenant, Time t) const;
  std::string draw_key(Time t);
  static std::string key_text(std::uint64_t n);

  const Scenario& scenario_;
  Random random_;
  Time at_{0};
  double highest_ = 0;
  std::uint64_t next_ = 0;
  std::vector<double> classes_, zones_, ranks_;  // cumulative
  std::vector<std::uint64_t> keys_;              // by rank
  std::uint64_t next_key_ = 0;
  double drifts_due_ = 0;
  Time drifted_at_{0};
};

}  // namespace balancer::testbed

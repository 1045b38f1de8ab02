#pragma once

#include <array>
#include <string>
#include <vector>

#include "testbed/model/histogram.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// The outcome of a client's request over all its tries.
enum class End { kInAim, kLate, kRefused, kFailed, kLeft };
inline constexpr std::size_t kEnds = 5;

// Counts client requests and their outcomes; a request's retries count with its first try. Times
// are measured from the moment at which the request was due, so that a stall of the balancer or of
// the load generator itself is not hidden (coordinated omission).
class Tally {
 public:
  explicit Tally(const Scenario& scenario);

  // Returns the worth of a request: proportional to its work, and a fifth of that beyond the
  // tenant's quota.
  double worth_of(Time due, int request_class, int tenant, double work);
  void on_asked(Time due, int request_class, int tenant, double worth);
  void on_end(Time due, Time now, int request_class, int tenant, double worth, End end);
  void on_try() { ++tries_; }

  struct Group {  // of a class or a tenant, without the warm-up
    std::uint64_t asked = 0;
    std::array<std::uint64_t, kEnds> ends{};
    double worth_asked = 0, worth_served = 0;
    Histogram times;  // of served requests
  };
  struct Second {
    std::uint64_t asked = 0;  // by due time, like all figures here
    std::array<std::uint64_t, kEnds> ends{};
    double worth_asked = 0, worth_served = 0;
    Histogram times;
  };
  const std::vector<Group>& classes() const { return classes_; }
  const std::vector<Group>& tenants() const { return tenants_; }
  const std::vector<Second>& by_second() const { return seconds_; }
  std::uint64_t tries() const { return tries_; }

 private:
  bool counted(Time due) const { return due >= scenario_.warm_up; }
  Second& second_of(Time due);

  const Scenario& scenario_;
  std::vector<Group> classes_, tenants_;
  std::vector<Second> seconds_;
  struct Quota {
    double tokens = 0;
    Time at{0};
  };
  std::vector<Quota> quotas_;
  std::uint64_t tries_ = 0;
};

}  // namespace balancer::testbed

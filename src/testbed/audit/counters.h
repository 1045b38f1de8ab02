#pragma once

#include <array>
#include <string>
#include <vector>

#include "testbed/model/histogram.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

// What a client's wish came to, over all its tries.
enum class End { kInAim, kLate, kRefused, kFailed, kLeft };
inline constexpr std::size_t kEnds = 5;

// The account of first tries: a client's retries belong to its first. Times count from the moment
// at which the request was due, so that a stall of the balancer or of the load itself is not
// hidden.
class Tally {
 public:
  explicit Tally(const Scenario& scenario);

  // Worth goes by work, and falls to a fifth beyond the tenant's quota.
  double worth_of(Time due, int request_class, int tenant, double work);
  void on_asked(Time due, int request_class, int tenant, double worth);
  void on_end(Time due, Time now, int request_class, int tenant, double worth, End end);
  void on_try() { ++tries_; }

  struct Group {  // of a class or a tenant
    std::uint64_t asked = 0;
    std::array<std::uint64_t, kEnds> ends{};
    double worth_asked = 0, worth_served = 0;
    Histogram times;  // of served ones
  };
  struct Second {
    std::uint64_t asked = 0;  // by the time that they were due, like all else here
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

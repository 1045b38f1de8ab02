#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "testbed/audit/check.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

/// Measures how long restarted balancers take from the start of their process until they are ready,
/// that is, until they answer on their address.
class Readiness {
 public:
  /// At least nine in ten restarted balancers have to be ready within this.
  static constexpr Duration kSoon = std::chrono::seconds(10);
  static constexpr std::uint64_t kAllowedOneIn = 10;
  /// No restarted balancer may take longer than this.
  static constexpr Duration kLatest = std::chrono::seconds(30);

  void on_start(Time now, int balancer) { starting_[balancer] = now; }
  void on_ready(Time now, int balancer) {
    const auto found = starting_.find(balancer);
    if (found == starting_.end()) return;
    count(balancer, found->second, now - found->second);
    starting_.erase(found);
  }
  /// The scenario kills or stops the balancer again before it was ready, so the start is not
  /// counted.
  void on_struck(int balancer) { starting_.erase(balancer); }
  /// The run ends. Balancers that are not ready have taken at least until now; they count if that
  /// exceeds kSoon.
  void on_end(Time now) {
    for (const auto& [balancer, started] : std::exchange(starting_, {}))
      if (now - started > kSoon) count(balancer, started, now - started);
  }

  std::vector<Check> checks() const {
    Check soon = ready_soon_;
    soon.allowed = ready_soon_.cases / kAllowedOneIn;
    return {soon, ready_latest_};
  }

 private:
  void count(int balancer, Time started, Duration took) {
    const std::string text = "balancer " + std::to_string(balancer) + ", started at " +
                             std::to_string(seconds(started)) + " s, took " +
                             std::to_string(seconds(took)) + " s";
    count(ready_soon_, took > kSoon, text);
    count(ready_latest_, took > kLatest, text);
  }
  static void count(Check& check, bool broken, const std::string& text) {
    ++check.cases;
    check.broken += broken;
    if (broken && check.example.empty()) check.example = text;
  }

  std::map<int, Time> starting_;  // by balancer: when its process was started
  Check ready_soon_{"restarted balancers not ready within 10 s", 0, 0, 0, {}};
  Check ready_latest_{"restarted balancers not ready within 30 s", 0, 0, 0, {}};
};

}  // namespace balancer::testbed

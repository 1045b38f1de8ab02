#pragma once

#include <string>
#include <vector>

#include "testbed/audit/auditor.h"
#include "testbed/audit/counters.h"
#include "testbed/load/load.h"
#include "testbed/servers/fleet.h"
#include "testbed/servers/resp_fleet.h"

namespace balancer::testbed {

struct ProcessSample {
  Time at{0};
  double memory_mb = 0, cpu = 0;  // cpu: cores used since the sample before
  int descriptors = 0;
};

struct BalancerFigures {
  std::string name;
  int starts = 0;
  std::vector<std::string> crashes;
  std::vector<ProcessSample> samples;
};

// All that a run came to, before it is written down.
struct RunFigures {
  const Scenario& scenario;
  const Auditor& auditor;
  const Stampede& stampede;
  const ColdLoads& cold_loads;
  const Tally& tally;
  const Load& load;
  const Fleet& fleet;
  std::vector<const RespFleet*> clusters;
  std::vector<BalancerFigures> balancers;
  std::vector<ProcessSample> rig;
  Histogram loop_lag;                // of the emulator's own event loop
  std::vector<Check> restarts = {};  // of balancers that the scenario restarted

  std::vector<Check> checks() const {
    std::vector<Check> all = auditor.checks();
    all.insert(all.end(), restarts.begin(), restarts.end());
    return all;
  }
};

// Beyond this lag at p99 the emulator was late itself, and its figures say nothing of balancers.
inline constexpr Duration kMaxLag = std::chrono::milliseconds(5);

// The report as one JSON object; text and page are made of that alone, also from a file of old.
std::string report_json(const RunFigures& run);

// Throw std::runtime_error if `json` is no report.
std::string report_text(const std::string& json);
std::string report_html(const std::string& json);  // whole page, no network, opens from disk
// 0, or 1 where a rule was broken, a balancer crashed, or a check failed.
int report_verdict(const std::string& json);

}  // namespace balancer::testbed

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
  double memory_mb = 0, cpu = 0;  // cpu: cores used since the previous sample
  int descriptors = 0;
};

struct BalancerFigures {
  std::string name;
  int starts = 0;
  std::vector<std::string> crashes;
  std::vector<ProcessSample> samples;
};

// All figures of a run, from which the report is written.
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
  std::vector<Check> restarts = {};  // of restarted balancers

  std::vector<Check> checks() const {
    std::vector<Check> all = auditor.checks();
    all.insert(all.end(), restarts.begin(), restarts.end());
    return all;
  }
};

// If the p99 lag exceeds this, the emulator itself was late and the figures do not describe the
// balancers.
inline constexpr Duration kMaxLag = std::chrono::milliseconds(5);

// Returns the report as one JSON object. Text and page are made from that alone, so that they can
// be made from a stored report too.
std::string report_json(const RunFigures& run);

// These throw std::runtime_error if `json` is not a report.
std::string report_text(const std::string& json);
// The page is self-contained and opens from disk without a network.
std::string report_html(const std::string& json);
// Returns 1 if a rule was broken, a balancer crashed or a check failed; otherwise 0.
int report_exit_code(const std::string& json);

}  // namespace balancer::testbed

#include "testbed/audit/cold_load.h"

#include <cmath>

namespace balancer::testbed {

ColdLoads::ColdLoads(const Scenario& scenario) {
  double shares = 0;
  for (const ClassSpec& c : scenario.classes) {
    if (c.cluster >= 0 || c.write()) continue;
    mean_work_ += c.share * c.work_ms * 1e-3;
    shares += c.share;
  }
  if (shares > 0) mean_work_ /= shares;
}

double ColdLoads::Peak::bound() const { return budget + 2 * std::sqrt(budget) + 2; }

void ColdLoads::on_start(Time now, int host, const std::string& name, const HostSpec& spec) {
  Start start;
  start.spec = spec;
  start.peak.host = name;
  start.peak.started = start.peak.at = now;
  latest_[host] = starts_.size();
  starts_.push_back(std::move(start));
}

bool ColdLoads::on_request(Time now, int host, double work, double warmth, int balancer) {
  const auto found = latest_.find(host);
  if (found == latest_.end() || warmth >= 1 || mean_work_ <= 0) return false;
  Start& start = starts_[found->second];
  const HostSpec& spec = start.spec;
  if (spec.tip_multiple <= 0 || spec.tip_time <= Duration{0}) return false;
  start.window.push_back({now, work, balancer});
  start.work += work;
  while (start.window.front().at + spec.tip_time <= now) {
    start.work -= start.window.front().work;
    start.window.pop_front();
  }
  Peak current = start.peak;
  current.at = now;
  current.requests = start.work / mean_work_;
  current.budget =
      spec.tip_multiple * spec.cores * spec.speed * warmth * seconds(spec.tip_time) / mean_work_;
  if (current.share_of_bound() > start.peak.share_of_bound()) start.peak = current;
  if (start.exceeded || current.requests <= current.bound()) return false;
  start.exceeded = true;
  return true;
}

std::map<int, double> ColdLoads::by_balancer(int host) const {
  std::map<int, double> all;
  if (const auto found = latest_.find(host); found != latest_.end())
    for (const Sent& sent : starts_[found->second].window) all[sent.balancer] += sent.work;
  return all;
}

std::vector<ColdLoads::Peak> ColdLoads::peaks() const {
  std::vector<Peak> all;
  for (const Start& start : starts_) all.push_back(start.peak);
  return all;
}

}  // namespace balancer::testbed

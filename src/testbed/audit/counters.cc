#include "testbed/audit/counters.h"

namespace balancer::testbed {
namespace {
constexpr double kOverQuotaFactor = 0.2;
}

Tally::Tally(const Scenario& s)
    : scenario_(s),
      classes_(s.classes.size()),
      tenants_(s.tenants.size()),
      quotas_(s.tenants.size()) {
  for (std::size_t t = 0; t < quotas_.size(); ++t) quotas_[t].tokens = s.tenants[t].quota_per_s;
}

double Tally::worth_of(Time due, int request_class, int tenant, double work) {
  const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(request_class)];
  const double worth = c.worth * work / (1e-3 * c.work_ms);
  const double quota = scenario_.tenants[static_cast<std::size_t>(tenant)].quota_per_s;
  if (quota <= 0) return worth;
  Quota& q = quotas_[static_cast<std::size_t>(tenant)];
  q.tokens = std::min(quota, q.tokens + quota * seconds(due - q.at));
  q.at = due;
  if (q.tokens < 1) return kOverQuotaFactor * worth;
  q.tokens -= 1;
  return worth;
}

Tally::Second& Tally::second_of(Time due) {
  const auto s = static_cast<std::size_t>(std::max(0.0, seconds(due)));
  if (seconds_.size() <= s) seconds_.resize(s + 1);
  return seconds_[s];
}

void Tally::on_asked(Time due, int request_class, int tenant, double worth) {
  Second& second = second_of(due);
  ++second.asked;
  second.worth_asked += worth;
  if (!counted(due)) return;
  for (Group* g : {&classes_[static_cast<std::size_t>(request_class)],
                   &tenants_[static_cast<std::size_t>(tenant)]}) {
    ++g->asked;
    g->worth_asked += worth;
  }
}

void Tally::on_end(Time due, Time now, int request_class, int tenant, double worth, End end) {
  const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(request_class)];
  const bool served = end == End::kInAim || end == End::kLate;
  const double got = end == End::kInAim ? worth : end == End::kLate ? worth * c.late_worth : 0;
  const auto e = static_cast<std::size_t>(end);
  Second& second = second_of(due);
  ++second.ends[e];
  second.worth_served += got;
  if (served) second.times.add(now - due);
  if (!counted(due)) return;
  for (Group* g : {&classes_[static_cast<std::size_t>(request_class)],
                   &tenants_[static_cast<std::size_t>(tenant)]}) {
    ++g->ends[e];
    g->worth_served += got;
    if (served) g->times.add(now - due);
  }
}

}  // namespace balancer::testbed

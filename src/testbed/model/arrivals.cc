#include "testbed/model/arrivals.h"

#include <algorithm>
#include <cstdio>

namespace balancer::testbed {
namespace {

std::size_t pick_index(const std::vector<double>& cumulative, double u) {
  const auto it = std::upper_bound(cumulative.begin(), cumulative.end(), u * cumulative.back());
  return std::min(static_cast<std::size_t>(it - cumulative.begin()), cumulative.size() - 1);
}

std::vector<double> cumulative_sums(std::vector<double> weights) {
  for (std::size_t i = 1; i < weights.size(); ++i) weights[i] += weights[i - 1];
  return weights;
}

bool is_active(const IncidentSpec& i, Time t) { return t >= i.at && t < i.at + i.length; }

}  // namespace

Arrivals::Arrivals(const Scenario& s) : scenario_(s), random_(s.seed, 2) {
  std::vector<double> weights;
  for (const ClassSpec& c : s.classes) weights.push_back(c.share);
  classes_ = cumulative_sums(weights);
  weights.clear();
  for (const ZoneSpec& z : s.zones) weights.push_back(z.clients);
  zones_ = cumulative_sums(weights);
  weights.clear();
  for (int r = 0; r < s.load.keys; ++r) weights.push_back(std::pow(r + 1.0, -s.load.zipf));
  ranks_ = cumulative_sums(weights);
  for (int r = 0; r < s.load.keys; ++r) keys_.push_back(next_key_++);
  // The rate changes only where an incident begins or ends.
  max_rate_ = rate(Time{0});
  for (const IncidentSpec& i : s.incidents) max_rate_ = std::max(max_rate_, rate(i.at));
}

double Arrivals::tenant_weight(std::size_t tenant, Time t) const {
  double weight = scenario_.tenants[tenant].share;
  for (const IncidentSpec& i : scenario_.incidents)
    if (i.what == What::kBurst && i.tenant == scenario_.tenants[tenant].name && is_active(i, t))
      weight *= i.factor;
  return weight;
}

double Arrivals::rate(Time t) const {
  double now = 0, usual = 0;
  for (std::size_t n = 0; n < scenario_.tenants.size(); ++n) {
    now += tenant_weight(n, t);
    usual += scenario_.tenants[n].share;
  }
  double rate = scenario_.load.rate * (usual > 0 ? now / usual : 1);
  for (const IncidentSpec& i : scenario_.incidents)
    if (i.what == What::kDemand && is_active(i, t)) rate *= i.factor;
  return rate;
}

std::string Arrivals::key_text(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%014llx",
                static_cast<unsigned long long>(Random(n, 7).next() >> 8));
  return text;
}

std::vector<std::string> Arrivals::popular() const {
  std::vector<std::string> all;
  for (auto it = keys_.rbegin(); it != keys_.rend(); ++it) all.push_back(key_text(*it));
  return all;
}

std::string Arrivals::draw_key(Time t) {
  pending_drifts_ += scenario_.load.drift_per_s * seconds(t - drifted_at_);
  drifted_at_ = t;
  for (; pending_drifts_ >= 1; pending_drifts_ -= 1)
    keys_[random_.below(keys_.size())] = next_key_++;
  return key_text(keys_[pick_index(ranks_, random_.uniform())]);
}

Wish Arrivals::next() {
  // Thinning (Lewis and Shedler 1979): candidates at the highest rate, kept in proportion.
  do {
    at_ += from_seconds(random_.exponential(1 / max_rate_));
  } while (!random_.chance(rate(at_) / max_rate_));
  Wish w;
  w.due = at_;
  w.number = next_number_++;
  w.request_class = static_cast<int>(pick_index(classes_, random_.uniform()));
  std::vector<double> tenants;
  for (std::size_t n = 0; n < scenario_.tenants.size(); ++n)
    tenants.push_back(tenant_weight(n, at_));
  w.tenant = static_cast<int>(pick_index(cumulative_sums(std::move(tenants)), random_.uniform()));
  w.zone = static_cast<int>(pick_index(zones_, random_.uniform()));
  w.key = draw_key(at_);
  const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(w.request_class)];
  w.work = 1e-3 * random_.lognormal(c.work_ms, c.cv);
  if (c.hint_noise >= 0) w.hint = w.work * random_.lognormal(1, c.hint_noise);
  w.seed = random_.next();
  return w;
}

}  // namespace balancer::testbed

#include "testbed/audit/service.h"

#include <algorithm>

namespace balancer::testbed {
namespace {

constexpr int kBaselineSeconds = 10, kFirstSeconds = 5, kStableSeconds = 3, kRelapseSeconds = 15,
              kSwingSeconds = 3;
constexpr double kFullTolerance = 0.03, kRelapseTolerance = 0.10;

double mean(const std::vector<double>& worth, int from, int to) {
  double sum = 0;
  for (int s = from; s < to; ++s) sum += worth[static_cast<std::size_t>(s)];
  return to > from ? sum / (to - from) : 0;
}

}  // namespace

std::vector<double> worth_by_second(const std::vector<Tally::Second>& seconds) {
  std::vector<double> worth;
  worth.reserve(seconds.size());
  for (const Tally::Second& s : seconds)
    worth.push_back(s.worth_asked > 0 ? s.worth_served / s.worth_asked
                    : worth.empty()   ? 1
                                      : worth.back());
  return worth;
}

Service service_after(const std::vector<double>& worth, int warm_up, int at, int end) {
  end = std::min(end, static_cast<int>(worth.size()));
  Service s;
  if (at >= end) return s;
  s.before = mean(worth, std::max(warm_up, at - kBaselineSeconds), at);
  s.worst = *std::min_element(worth.begin() + at, worth.begin() + end);
  s.first_five = mean(worth, at, std::min(end, at + kFirstSeconds));
  for (int t = at; t < end; ++t) {
    const double w = worth[static_cast<std::size_t>(t)];
    if (s.before > 0) s.area += std::max(0.0, 1 - w / s.before);
    if (s.full_after || t + kStableSeconds > end) continue;
    const auto from = worth.begin() + t;
    const bool stays = *std::min_element(from, from + kStableSeconds) >= s.before - kFullTolerance;
    const auto to = worth.begin() + std::min(end, t + kStableSeconds + kRelapseSeconds);
    if (stays && *std::min_element(from, to) >= s.before - kRelapseTolerance) s.full_after = t - at;
  }
  return s;
}

double swing(const std::vector<double>& worth, int from, int to) {
  double least = 1, most = 0;
  for (int t = from; t + kSwingSeconds <= std::min(to, static_cast<int>(worth.size())); ++t) {
    const double m = mean(worth, t, t + kSwingSeconds);
    least = std::min(least, m);
    most = std::max(most, m);
  }
  return std::max(0.0, most - least);
}

}  // namespace balancer::testbed

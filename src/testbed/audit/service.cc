#include "testbed/audit/service.h"

#include <algorithm>

namespace balancer::testbed {
namespace {

constexpr int kBefore = 10, kFirst = 5, kStays = 3, kWatched = 15, kSwingMean = 3;
constexpr double kFull = 0.03, kFallBack = 0.10;

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
  s.before = mean(worth, std::max(warm_up, at - kBefore), at);
  s.worst = *std::min_element(worth.begin() + at, worth.begin() + end);
  s.first_five = mean(worth, at, std::min(end, at + kFirst));
  for (int t = at; t < end; ++t) {
    const double w = worth[static_cast<std::size_t>(t)];
    if (s.before > 0) s.area += std::max(0.0, 1 - w / s.before);
    if (s.full_after || t + kStays > end) continue;
    const auto from = worth.begin() + t;
    const bool stays = *std::min_element(from, from + kStays) >= s.before - kFull;
    const auto to = worth.begin() + std::min(end, t + kStays + kWatched);
    if (stays && *std::min_element(from, to) >= s.before - kFallBack) s.full_after = t - at;
  }
  return s;
}

double swing(const std::vector<double>& worth, int from, int to) {
  double least = 1, most = 0;
  for (int t = from; t + kSwingMean <= std::min(to, static_cast<int>(worth.size())); ++t) {
    const double m = mean(worth, t, t + kSwingMean);
    least = std::min(least, m);
    most = std::max(most, m);
  }
  return std::max(0.0, most - least);
}

}  // namespace balancer::testbed

#include "testbed/scale/linear_fit.h"

#include <cmath>

namespace balancer::testbed::scale {
namespace {

struct Line {
  double slope = 0, intercept = 0;
};

Line least_squares(const std::vector<Point>& points) {
  double mean_x = 0, mean_y = 0;
  for (const Point& p : points) {
    mean_x += p.x / static_cast<double>(points.size());
    mean_y += p.y / static_cast<double>(points.size());
  }
  double covariance = 0, variance = 0;
  for (const Point& p : points) {
    covariance += (p.x - mean_x) * (p.y - mean_y);
    variance += (p.x - mean_x) * (p.x - mean_x);
  }
  const double slope = variance > 0 ? covariance / variance : 0;
  return {slope, mean_y - slope * mean_x};
}

double power_law_exponent(const std::vector<Point>& points) {
  std::vector<Point> logarithms;
  for (const Point& p : points)
    if (p.x > 0 && p.y > 0) logarithms.push_back({std::log(p.x), std::log(p.y)});
  return logarithms.size() < 2 ? 0 : least_squares(logarithms).slope;
}

}  // namespace

LinearFit fit_line(const std::vector<Point>& points) {
  LinearFit fit;
  fit.points = points.size();
  if (points.empty()) return fit;
  const Line line = least_squares(points);
  fit.slope = line.slope;
  fit.intercept = line.intercept;
  double mean_y = 0;
  for (const Point& p : points) mean_y += p.y / static_cast<double>(points.size());
  double around_line = 0, around_mean = 0;
  for (const Point& p : points) {
    around_line += std::pow(p.y - fit.at(p.x), 2);
    around_mean += std::pow(p.y - mean_y, 2);
  }
  fit.residual = std::sqrt(around_line / static_cast<double>(points.size()));
  fit.r_squared = around_mean > 0 ? 1 - around_line / around_mean : 1;
  fit.exponent = power_law_exponent(points);
  return fit;
}

}  // namespace balancer::testbed::scale

#pragma once

#include <cstddef>
#include <utility>
#include <vector>

// How a measured cost grows with a size: the straight line through the points and how well it fits,
// and the power law for where it does not.
namespace balancer::testbed::scale {

struct Point {
  double x = 0, y = 0;
};

struct LinearFit {
  std::size_t points = 0;
  double slope = 0, intercept = 0;
  double residual = 0;   // root of the mean square of y's distances from the line, in y's unit
  double r_squared = 0;  // share of y's variance that the line explains, 0 to 1
  // Of y = c * x^exponent over the points with x and y above 0; 1 for a line through the origin, 0
  // where there are fewer than two.
  double exponent = 0;

  double at(double x) const { return intercept + slope * x; }
};

// Ordinary least squares. With fewer than two different x the slope is 0.
LinearFit fit_line(const std::vector<Point>& points);

}  // namespace balancer::testbed::scale

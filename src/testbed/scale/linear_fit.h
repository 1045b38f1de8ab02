#pragma once

#include <cstddef>
#include <utility>
#include <vector>

// Fits a measured cost over a size: a straight line with its goodness of fit, and a power law for
// costs that do not grow linearly.
namespace balancer::testbed::scale {

struct Point {
  double x = 0, y = 0;
};

struct LinearFit {
  std::size_t points = 0;
  double slope = 0, intercept = 0;
  double residual = 0;   // root mean square of y's distances from the line, in y's unit
  double r_squared = 0;  // share of y's variance that the line explains, 0 to 1
  // Exponent of the fit y = c * x^exponent over the points with x > 0 and y > 0; 1 for a line
  // through the origin, 0 for fewer than two such points.
  double exponent = 0;

  double at(double x) const { return intercept + slope * x; }
};

// Fits a line by ordinary least squares. The slope is 0 if there are fewer than two different x.
LinearFit fit_line(const std::vector<Point>& points);

}  // namespace balancer::testbed::scale

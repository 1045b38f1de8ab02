#include <algorithm>
#include <cstdio>

#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {
namespace {

constexpr double kWidth = 640, kHeight = 240, kLeft = 70, kRight = 20, kTop = 14, kBottom = 34;

std::string format(const char* pattern, double a, double b = 0, double c = 0, double d = 0) {
  char text[256];
  std::snprintf(text, sizeof text, pattern, a, b, c, d);
  return text;
}

// Draws points and their fitted line over axes that begin at 0.
class Chart {
 public:
  explicit Chart(const NamedFit& fit) : fit_(fit) {
    for (const Point& p : fit.points) {
      max_x_ = std::max(max_x_, p.x);
      max_y_ = std::max(max_y_, p.y);
    }
    if (max_x_ <= 0) max_x_ = 1;
    if (max_y_ <= 0) max_y_ = 1;
  }

  std::string html() const {
    return "<section><h2>" + fit_.name + "</h2><p>" + fit_.y + " by " + fit_.x +
           format(": slope %.4g, intercept %.4g, residual %.3g, R2 %.4f", fit_.line.slope,
                  fit_.line.intercept, fit_.line.residual, fit_.line.r_squared) +
           format(", exponent %.2f</p>", fit_.line.exponent) + "<svg viewBox='0 0 640 240'>" +
           axes() + line() + dots() + "</svg></section>\n";
  }

 private:
  double x(double value) const { return kLeft + (kWidth - kLeft - kRight) * value / max_x_; }
  double y(double value) const {
    const double part = std::clamp(value / max_y_, 0.0, 1.0);
    return kHeight - kBottom - (kHeight - kBottom - kTop) * part;
  }
  std::string axes() const {
    std::string text;
    for (int i = 0; i <= 4; ++i) {
      const double part = i / 4.0;
      text += format("<line x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f' stroke='#e2e8f0'/>", kLeft,
                     kWidth - kRight, y(part * max_y_), y(part * max_y_));
      text += format("<text x='%.0f' y='%.1f' text-anchor='end'>%.3g</text>", kLeft - 6,
                     y(part * max_y_) + 4, part * max_y_);
      text += format("<text x='%.1f' y='%.0f' text-anchor='middle'>%.4g</text>", x(part * max_x_),
                     kHeight - 12, part * max_x_);
    }
    return text;
  }
  std::string line() const {
    return format("<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#c05621'/>", x(0),
                  y(fit_.line.at(0)), x(max_x_), y(fit_.line.at(max_x_)));
  }
  std::string dots() const {
    std::string text;
    for (const Point& p : fit_.points)
      text += format("<circle cx='%.1f' cy='%.1f' r='3' fill='#2b6cb0'/>", x(p.x), y(p.y));
    return text;
  }

  const NamedFit& fit_;
  double max_x_ = 0, max_y_ = 0;
};

}  // namespace

std::string charts_html(const SweepResult& result) {
  std::string page = "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>" +
                     result.name +
                     "</title><style>body{font:14px sans-serif;max-width:700px;margin:2em auto}"
                     "h2{font-size:15px;margin:1.6em 0 0}svg text{font-size:10px}</style></head>"
                     "<body><h1>Sweep " +
                     result.name + "</h1>\n";
  for (const NamedFit& fit : result.fits) page += Chart(fit).html();
  return page + "</body></html>\n";
}

}  // namespace balancer::testbed::scale

#include "testbed/scale/sweep.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace balancer::testbed::scale {
namespace {

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) throw std::runtime_error(path + ": cannot be written");
}

std::string fit_text(const NamedFit& fit) {
  const LinearFit& line = fit.line;
  return fit.name + ": slope " + number(line.slope) + ", intercept " + number(line.intercept) +
         ", residual " + number(line.residual) + ", R2 " + number(line.r_squared) + ", exponent " +
         number(line.exponent) + " (" + std::to_string(line.points) + " points)";
}

}  // namespace

double Table::at(std::size_t row, const std::string& column) const {
  const auto found = std::find(columns_.begin(), columns_.end(), column);
  if (found == columns_.end()) throw std::out_of_range("no column " + column);
  return rows_.at(row).at(static_cast<std::size_t>(found - columns_.begin()));
}

std::string Table::csv() const {
  std::string text;
  for (std::size_t c = 0; c < columns_.size(); ++c) text += (c > 0 ? "," : "") + columns_[c];
  text += "\n";
  for (const auto& row : rows_) {
    for (std::size_t c = 0; c < row.size(); ++c) text += (c > 0 ? "," : "") + number(row[c]);
    text += "\n";
  }
  return text;
}

const LinearFit& SweepResult::fit(const std::string& what, const std::string& x,
                                  const std::string& y,
                                  const std::function<Point(std::size_t row)>& point,
                                  const std::function<bool(std::size_t row)>& chosen) {
  NamedFit named{what, x, y, {}, {}};
  for (std::size_t row = 0; row < table.rows(); ++row)
    if (chosen(row)) named.points.push_back(point(row));
  named.line = fit_line(named.points);
  fits.push_back(std::move(named));
  return fits.back().line;
}

const std::vector<SweepEntry>& sweeps() {
  static const std::vector<SweepEntry> all{
      {"changes", "cost of list changes to balancers and discovery", sweep_changes},
      {"bursts", "cost of many changes at once", sweep_bursts},
      {"hosts", "memory and CPU of a process by listed hosts", sweep_hosts},
      {"load", "CPU by requests and bytes, memory by client connections", sweep_load},
      {"restart", "cost and duration of restarts", sweep_restart},
      {"group", "membership's datagrams, bytes and CPU by size of the group", sweep_group},
      {"origin", "repeated fetches of the origin by number of balancers", sweep_origin},
  };
  return all;
}

std::string fits_csv(const SweepResult& result) {
  std::string text = "fit,x,y,points,slope,intercept,residual,r_squared,exponent\n";
  for (const NamedFit& fit : result.fits) {
    const LinearFit& line = fit.line;
    text +=
        "\"" + fit.name + "\",\"" + fit.x + "\",\"" + fit.y + "\"," + std::to_string(line.points);
    for (const double value :
         {line.slope, line.intercept, line.residual, line.r_squared, line.exponent})
      text += "," + number(value);
    text += "\n";
  }
  return text;
}

void run_and_write(const std::string& name, const SweepOptions& options) {
  const auto& all = sweeps();
  const auto entry =
      std::find_if(all.begin(), all.end(), [&](const SweepEntry& e) { return e.name == name; });
  if (entry == all.end()) throw std::invalid_argument("unknown sweep: " + name);
  if (!options.folder.empty()) std::filesystem::create_directories(options.folder);
  const SweepResult result = entry->run(options);
  for (const NamedFit& fit : result.fits) std::printf("%s\n", fit_text(fit).c_str());
  if (options.folder.empty()) return;
  const std::string base = options.folder + "/" + name;
  write_file(base + ".csv", result.table.csv());
  write_file(base + "-fits.csv", fits_csv(result));
  write_file(base + ".html", charts_html(result));
}

void report_progress(const SweepOptions& options, const char* format, ...) {
  if (!options.progress) return;
  std::va_list arguments;
  va_start(arguments, format);
  std::vfprintf(stderr, format, arguments);
  va_end(arguments);
  std::fputc('\n', stderr);
}

}  // namespace balancer::testbed::scale

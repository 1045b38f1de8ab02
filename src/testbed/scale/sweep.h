#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "testbed/scale/linear_fit.h"

// A sweep measures the cost of one quantity at several sizes and seeds and fits lines to it.
// docs/CAPACITY.md quotes its rows, fits and charts.
namespace balancer::testbed::scale {

struct SweepOptions {
  bool quick = false;  // few sizes with one short run each; only counts are meaningful, not times
  std::vector<std::uint64_t> seeds{1, 2, 3};
  std::string folder;   // for process logs, tables and charts; empty: nothing is written
  std::string program;  // path of the balancer, for sweeps that start processes
  bool progress = false;
};

// A table of numbers with named columns.
class Table {
 public:
  explicit Table(std::vector<std::string> columns) : columns_(std::move(columns)) {}

  // `row` must have one number for each column.
  void add(std::vector<double> row) { rows_.push_back(std::move(row)); }
  const std::vector<std::string>& columns() const { return columns_; }
  std::size_t rows() const { return rows_.size(); }
  // Throws std::out_of_range for an unknown column.
  double at(std::size_t row, const std::string& column) const;
  std::string csv() const;

 private:
  std::vector<std::string> columns_;
  std::vector<std::vector<double>> rows_;
};

struct NamedFit {
  std::string name;  // what the slope measures: "balancer CPU ms per change, 1400 hosts"
  std::string x, y;  // axis labels with units
  std::vector<Point> points;
  LinearFit line;
};

struct SweepResult {
  std::string name;
  Table table;
  std::vector<NamedFit> fits;

  // Fits y over x of the rows that `chosen` accepts, and stores the fit under the name `what`.
  const LinearFit& fit(const std::string& what, const std::string& x, const std::string& y,
                       const std::function<Point(std::size_t row)>& point,
                       const std::function<bool(std::size_t row)>& chosen);
};

// Throws std::runtime_error if a process or socket cannot be created or a run does not become
// ready.
using Sweep = SweepResult (*)(const SweepOptions&);

struct SweepEntry {
  const char* name;
  const char* about;
  Sweep run;
};
const std::vector<SweepEntry>& sweeps();

// Runs the named sweep, prints its fits and writes NAME.csv, NAME-fits.csv and NAME.html to
// the folder. Throws std::invalid_argument for an unknown name.
void run_and_write(const std::string& name, const SweepOptions& options);

std::string fits_csv(const SweepResult& result);
// Returns a self-contained HTML page with a chart of each fit.
std::string charts_html(const SweepResult& result);

// Prints a progress line to standard error if `options.progress` is set.
void report_progress(const SweepOptions& options, const char* format, ...)
    __attribute__((format(printf, 2, 3)));

SweepResult sweep_bursts(const SweepOptions& options);
SweepResult sweep_changes(const SweepOptions& options);
SweepResult sweep_group(const SweepOptions& options);
SweepResult sweep_hosts(const SweepOptions& options);
SweepResult sweep_load(const SweepOptions& options);
SweepResult sweep_restart(const SweepOptions& options);
SweepResult sweep_origin(const SweepOptions& options);

}  // namespace balancer::testbed::scale

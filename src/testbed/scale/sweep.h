#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "testbed/scale/linear_fit.h"

// A sweep measures what one quantity costs at several sizes and seeds, and fits lines through it.
// Its rows, fits and charts are what docs/CAPACITY.md quotes.
namespace balancer::testbed::scale {

struct SweepOptions {
  bool quick = false;  // few sizes and one short run of each, for its counts and not for its times
  std::vector<std::uint64_t> seeds{1, 2, 3};
  std::string folder;   // for logs of processes, tables and charts; empty: nothing is written
  std::string program;  // the balancer, for sweeps that start processes
  bool progress = false;
};

// Rows of numbers under named columns.
class Table {
 public:
  explicit Table(std::vector<std::string> columns) : columns_(std::move(columns)) {}

  // `row` has one number for each column.
  void add(std::vector<double> row) { rows_.push_back(std::move(row)); }
  const std::vector<std::string>& columns() const { return columns_; }
  std::size_t rows() const { return rows_.size(); }
  // Throws std::out_of_range for a name that no column has.
  double at(std::size_t row, const std::string& column) const;
  std::string csv() const;

 private:
  std::vector<std::string> columns_;
  std::vector<std::vector<double>> rows_;
};

struct NamedFit {
  std::string name;  // what the slope is: "balancer CPU ms per change, 1400 hosts"
  std::string x, y;  // with their units
  std::vector<Point> points;
  LinearFit line;
};

struct SweepResult {
  std::string name;
  Table table;
  std::vector<NamedFit> fits;

  // Fits y over x of the rows that `chosen` takes, and keeps the fit.
  const LinearFit& fit(const std::string& what, const std::string& x, const std::string& y,
                       const std::function<Point(std::size_t row)>& point,
                       const std::function<bool(std::size_t row)>& chosen);
};

// Throws std::runtime_error where a process or socket could not be had, or a run did not get ready.
using Sweep = SweepResult (*)(const SweepOptions&);

struct SweepEntry {
  const char* name;
  const char* about;
  Sweep run;
};
const std::vector<SweepEntry>& sweeps();

// Runs the sweep of that name, prints its fits and writes NAME.csv, NAME-fits.csv and NAME.html to
// the folder. Throws std::invalid_argument for an unknown name.
void run_and_write(const std::string& name, const SweepOptions& options);

std::string fits_csv(const SweepResult& result);
// A page with a chart of each fit, whole in itself.
std::string charts_html(const SweepResult& result);

// One progress line on standard error.
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

// Generates the tables of docs/CAPACITY.md from measured cost slopes and the counts of a deployment size.
// Each slope is a least-squares line through its points, given with its largest deviation. A nonlinear slope
// is shown, but not extrapolated beyond its points.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace flintweir::lab {

struct Slope {
  std::string name, unit, per, source, command;  // source: what was measured, real or virtual
  std::vector<double> x, y;
  double slope = 0, offset = 0;  // least-squares fit over the points
  double max_deviation = 0;  // largest distance of a point from the line, as a fraction of the largest point
  bool is_nonlinear() const { return max_deviation > 0.1; }
  double at(double count) const { return offset + slope * count; }
};

// One row of a table: a slope evaluated at a count, or a figure measured directly, compared with a bound.
struct CapacityRow {
  std::string state, role, what, mechanism;
  // Exactly one of: slope with count, a value measured at this size, or a figure in words.
  std::string slope, count, figure;
  double value = -1;
  std::string bound;       // an expression such as nodes/10; empty: none
  double unit_factor = 1;  // converts the slope's unit to the bound's
  std::string unit;
};

class Capacity {
 public:
  // Reads the two TOML files. Throws InputError with one line: file, line, key, reason.
  Capacity(const std::string& slopes, const std::string& size);
  // The Markdown text that belongs between the begin and end markers of the page.
  std::string tables() const;

 private:
  struct Evaluated {
    std::string figure, bound, margin;
    double share = 0;  // of the bound; zero: no bound
  };
  // Evaluates an expression of counts and numbers joined by * and /, where the count `hosts` has the value
  // given.
  double value(const std::string& expression, double hosts) const;
  Evaluated evaluate(const CapacityRow& row) const;

  std::map<std::string, double> counts_;
  std::vector<double> hosts_;
  std::map<std::string, Slope> slopes_;
  std::vector<CapacityRow> rows_;
};

// Whether the text between the markers of the page file equals `tables`. Throws InputError if a marker is
// missing.
bool page_matches(const std::string& page, const std::string& tables);

}  // namespace flintweir::lab

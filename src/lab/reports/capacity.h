// The tables of docs/CAPACITY.md: measured slopes times the counts of a size. A slope is fitted to its points
// and says its error; one that bends is shown and not used beyond its points.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace flintweir::lab {

struct Slope {
  std::string name, unit, per, gave, command;  // gave: what was measured, real or virtual
  std::vector<double> x, y;
  double slope = 0, offset = 0;  // least squares over the points
  double error = 0;              // the most that a point is off the line, as a share of the largest point
  bool bends() const { return error > 0.1; }
  double at(double count) const { return offset + slope * count; }
};

// One figure: a slope at a count, or a figure measured as it is, against a bound.
struct CapacityRow {
  std::string state, role, what, mechanism;
  // Either slope and count, or a value measured at this size as it is, or a figure in words.
  std::string slope, count, figure;
  double value = -1;
  std::string bound;  // an expression; empty: none
  double times = 1;   // from the slope's unit to the bound's
  std::string unit;
};

class Capacity {
 public:
  // Throws InputError with one line: file, line, key, reason.
  Capacity(const std::string& slopes, const std::string& size);
  // What the page holds between its marks.
  std::string tables() const;

 private:
  struct Worked {
    std::string figure, bound, margin;
    double share = 0;  // of the bound; zero: none
  };
  // Names of the size, or numbers, joined by * and /; `hosts` is given.
  double value(const std::string& expression, double hosts) const;
  Worked work(const CapacityRow& row) const;

  std::map<std::string, double> counts_;
  std::vector<double> hosts_;
  std::map<std::string, Slope> slopes_;
  std::vector<CapacityRow> rows_;
};

// Whether the page's part between its marks is what the files give. Throws InputError where it has no marks.
bool page_agrees(const std::string& page, const std::string& tables);

}  // namespace flintweir::lab

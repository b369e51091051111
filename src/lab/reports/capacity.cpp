#include "lab/reports/capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "lab/faults/table_reader.h"

namespace flintweir::lab {
namespace {

constexpr const char* kBeginMarker = "<!-- tables: begin -->\n";
constexpr const char* kEndMarker = "<!-- tables: end -->\n";
constexpr std::size_t kMinPoints = 4;

// Formats with up to three significant digits, or as a whole number from 100 on, to keep the tables readable.
std::string format_value(double v) {
  char text[40];
  const double a = std::fabs(v);
  std::snprintf(text, sizeof text,
                a >= 1e6   ? "%.3g million"
                : a >= 100 ? "%.0f"
                : a >= 1   ? "%.3g"
                           : "%.2g",
                a >= 1e6 ? v / 1e6 : v);
  return text;
}

toml::table read(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    throw InputError(path + ":" + std::to_string(e.source().begin.line) + ": " +
                     std::string(e.description()));
  }
}

std::vector<double> numbers(const toml::table& table, const char* key, const TableReader& fields) {
  std::vector<double> out;
  const toml::array* const row = table[key].as_array();
  if (!row) fields.fail(key, "must be a list of numbers");
  for (const toml::node& n : *row) {
    const auto v = n.is_number() ? n.value<double>() : std::nullopt;
    if (!v || !std::isfinite(*v) || *v < 0)
      fields.fail(key, "holds a value that is not a number of zero or more");
    out.push_back(*v);
  }
  return out;
}

void fit(Slope& s) {
  const auto n = static_cast<double>(s.x.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (std::size_t i = 0; i < s.x.size(); ++i) {
    sx += s.x[i], sy += s.y[i], sxx += s.x[i] * s.x[i], sxy += s.x[i] * s.y[i];
  }
  const double spread = n * sxx - sx * sx;
  s.slope = spread > 0 ? (n * sxy - sx * sy) / spread : 0;
  s.offset = (sy - s.slope * sx) / n;
  const double largest = *std::max_element(s.y.begin(), s.y.end());
  for (std::size_t i = 0; i < s.x.size(); ++i)
    s.max_deviation = std::max(s.max_deviation, largest > 0 ? std::fabs(s.at(s.x[i]) - s.y[i]) / largest : 0);
}

std::string format_margin(double share) {
  if (share <= 0) return {};
  return share <= 1 ? "fits, " + format_value(share * 100) + "% of it"
                    : "misses, " + format_value(share) + " times";
}

}  // namespace

Capacity::Capacity(const std::string& slopes, const std::string& size) {
  const toml::table sizes = read(size);
  TableReader size_reader(sizes, "", size);
  for (const auto& [key, node] : sizes) {
    const std::string name(key.str());
    if (name == "hosts") {
      hosts_ = numbers(sizes, "hosts", size_reader);
      continue;
    }
    if (!node.is_number()) size_reader.fail(name, "is not a number");
    const double v = node.value<double>().value_or(-1);
    if (!std::isfinite(v) || v <= 0) size_reader.fail(name, "is not above zero");
    counts_[name] = v;
  }
  if (hosts_.empty()) size_reader.fail("hosts", "is missing: the counts of hosts to work out");

  const toml::table table = read(slopes);
  for (const auto& [key, node] : table)
    if (key.str() != "slope" && key.str() != "row")
      TableReader(table, "", slopes).fail(key.str(), "is unknown; allowed are slope and row");
  if (const toml::array* const all = table["slope"].as_array())
    for (const toml::node& n : *all) {
      if (!n.is_table()) throw InputError(slopes + ":1: slope: is not a table");
      TableReader f(*n.as_table(), "slope", slopes);
      Slope s;
      s.name = f.string("name", "");
      s.unit = f.string("unit", "");
      s.per = f.string("per", "");
      s.source = f.string("gave", "");
      s.command = f.string("command", "");
      for (const char* key : {"name", "unit", "per", "gave", "command"})
        if (!f.has(key)) f.fail(key, "is missing");
      s.x = numbers(*n.as_table(), "x", f);
      s.y = numbers(*n.as_table(), "y", f);
      if (s.x.size() < kMinPoints) f.fail("x", "has fewer than four points");
      if (s.x.size() != s.y.size()) f.fail("y", "has a different number of points than x");
      fit(s);
      if (!slopes_.emplace(s.name, s).second) f.fail("name", "is a duplicate");
    }
  if (const toml::array* const all = table["row"].as_array())
    for (const toml::node& n : *all) {
      if (!n.is_table()) throw InputError(slopes + ":1: row: is not a table");
      TableReader f(*n.as_table(), "row", slopes);
      CapacityRow r;
      r.state = f.string("state", "");
      r.role = f.string("role", "");
      r.what = f.string("what", "");
      r.mechanism = f.string("mechanism", "missing");
      r.slope = f.string("slope", "");
      r.count = f.string("count", "");
      r.figure = f.string("figure", "");
      r.bound = f.string("bound", "");
      r.unit = f.string("unit", "");
      r.unit_factor = f.number("times", 1, 0, 1e12);
      r.value = f.number("value", -1, 0, 1e15);
      for (const char* key : {"state", "role", "what"})
        if (!f.has(key)) f.fail(key, "is missing");
      if (!r.slope.empty() + !r.figure.empty() + (r.value >= 0) != 1)
        f.fail("slope", "exactly one of slope, figure and value is required");
      if (!r.slope.empty() && !slopes_.contains(r.slope)) f.fail("slope", "is not among the slopes");
      try {
        if (!r.slope.empty()) value(r.count, hosts_.front());
        if (!r.bound.empty()) value(r.bound, hosts_.front());
      } catch (const InputError& e) {
        f.fail(r.bound.empty() ? "count" : "bound", e.what());
      }
      rows_.push_back(r);
    }
  if (rows_.empty()) throw InputError(slopes + ":1: row: at least one is required");
}

double Capacity::value(const std::string& expression, double hosts) const {
  double out = 1;
  char operation = '*';
  for (std::size_t at = 0; at <= expression.size();) {
    const std::size_t end = std::min(expression.find_first_of("*/", at), expression.size());
    const std::string word = expression.substr(at, end - at);
    double v = 0;
    if (word == "hosts") {
      v = hosts;
    } else if (const auto it = counts_.find(word); it != counts_.end()) {
      v = it->second;
    } else {
      char* rest = nullptr;
      v = std::strtod(word.c_str(), &rest);
      if (word.empty() || *rest || !(v > 0))
        throw InputError("'" + word + "' is neither a count in the size file nor a number above zero");
    }
    out = operation == '*' ? out * v : out / v;
    if (end == expression.size()) break;
    operation = expression[end];
    at = end + 1;
  }
  return out;
}

Capacity::Evaluated Capacity::evaluate(const CapacityRow& row) const {
  Evaluated out;
  if (!row.bound.empty())
    out.bound = format_value(value(row.bound, hosts_.front())) + (row.unit.empty() ? "" : ' ' + row.unit);
  if (row.value >= 0) {
    out.figure = format_value(row.value * row.unit_factor) + (row.unit.empty() ? "" : ' ' + row.unit);
    if (!row.bound.empty()) out.share = row.value * row.unit_factor / value(row.bound, hosts_.front());
    out.margin = format_margin(out.share);
    return out;
  }
  if (row.slope.empty()) {
    out.figure = row.figure;
    return out;
  }
  const Slope& s = slopes_.at(row.slope);
  const bool by_hosts =
      row.count.find("hosts") != row.count.npos || row.bound.find("hosts") != row.bound.npos;
  const double largest_point = *std::max_element(s.x.begin(), s.x.end());
  for (const double hosts : hosts_) {
    const double count = value(row.count, hosts);
    std::string text;
    if (s.is_nonlinear() && count > largest_point) {
      text = "bends: not worked out";
    } else {
      const double v = s.at(count) * row.unit_factor;
      text = format_value(v) + (row.unit.empty() ? "" : ' ' + row.unit);
      if (!row.bound.empty()) out.share = std::max(out.share, v / value(row.bound, hosts));
      if (count > largest_point * 1.01)
        text += " (" + format_value(count / largest_point) + " times beyond the points)";
    }
    if (by_hosts) text = format_value(hosts) + " hosts: " + text;
    out.figure += (out.figure.empty() ? "" : "; ") + text;
    if (!by_hosts) break;
  }
  out.margin = format_margin(out.share);
  return out;
}

std::string Capacity::tables() const {
  std::ostringstream out;
  out << "### Slopes\n\n| slope | | from | points | off the line by at most | given by | command |\n"
      << "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [name, s] : slopes_) {
    out << "| " << name << " | " << format_value(s.slope) << ' ' << s.unit << " per " << s.per << ", and "
        << format_value(s.offset) << " | " << format_value(s.x.front()) << " to " << format_value(s.x.back())
        << " | ";
    for (std::size_t i = 0; i < s.y.size(); ++i) out << (i ? ", " : "") << format_value(s.y[i]);
    out << " | " << format_value(s.max_deviation * 100) << '%' << (s.is_nonlinear() ? ", **bends**" : "")
        << " | " << s.source << " | `" << s.command << "` |\n";
  }
  std::string state;
  std::vector<std::pair<double, const CapacityRow*>> by_share;
  std::vector<const CapacityRow*> open;
  for (const CapacityRow& r : rows_) {
    const Evaluated w = evaluate(r);
    if (r.state != state) {
      out << "\n### " << r.state
          << "\n\n| role | what | figure | bound | | carried by |\n| --- | --- | --- | --- | --- | --- |\n";
      state = r.state;
    }
    out << "| " << r.role << " | " << r.what << " | " << w.figure
        << (r.slope.empty() ? "" : " (" + r.slope + ")") << " | " << w.bound << " | " << w.margin << " | "
        << r.mechanism << " |\n";
    if (w.share > 0) by_share.emplace_back(w.share, &r);
    if (r.figure.find("not measured") != r.figure.npos || r.mechanism.find("missing") != r.mechanism.npos)
      open.push_back(&r);
  }
  std::stable_sort(by_share.begin(), by_share.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  out << "\n### What misses its bound, the farthest first\n\n";
  for (const auto& [share, r] : by_share)
    if (share > 1)
      out << "- " << r->state << ", " << r->role << ": " << r->what << ", " << format_value(share)
          << " times its bound\n";
  out << "\n### What fits, the nearest first\n\n";
  for (const auto& [share, r] : by_share)
    if (share <= 1)
      out << "- " << r->state << ", " << r->role << ": " << r->what << ", " << format_value(share * 100)
          << "% of its bound\n";
  out << "\n### Missing or not measured\n\n";
  for (const CapacityRow* r : open)
    out << "- " << r->state << ", " << r->role << ": " << r->what << " ("
        << (r->figure.empty() ? "carried by nothing yet" : r->figure) << ")\n";
  return out.str();
}

bool page_matches(const std::string& page, const std::string& tables) {
  std::ifstream in(page);
  std::ostringstream text;
  text << in.rdbuf();
  const std::string all = text.str();
  const std::size_t begin = all.find(kBeginMarker), end = all.find(kEndMarker);
  if (!in || begin == all.npos || end == all.npos || end < begin)
    throw InputError(page + ":1: tables: the begin or end marker of the tables is missing");
  const std::size_t from = begin + std::string(kBeginMarker).size();
  return all.substr(from, end - from) == tables;
}

}  // namespace flintweir::lab

// Reads and validates a TOML table key by key. Invalid values and unknown keys raise InputError with the
// file, line and field.
#pragma once

#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#define TOML_EXCEPTIONS 1
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "ids.h"
#include "lab/faults/input_error.h"

namespace flintweir::lab {

// The table has to outlive the reader. Each getter returns `fallback` if the key is absent.
class TableReader {
 public:
  // `path` names the table and `file` the file in error messages.
  TableReader(const toml::table& table, std::string path, std::string file)
      : table_(table), path_(std::move(path)), file_(std::move(file)) {}

  [[noreturn]] void fail(std::string_view key, const std::string& reason) const {
    const toml::node* const node = table_.get(key);
    const auto line = (node ? node->source() : table_.source()).begin.line;
    throw InputError(file_ + ":" + std::to_string(line) + ": " + full_name(key) + ": " + reason);
  }
  bool has(std::string_view key) const { return table_.contains(key); }

  double number(std::string_view key, double fallback, double least, double most) {
    const toml::node* const node = find(key);
    if (!node) return fallback;
    const auto value = node->value<double>();
    if (!node->is_number() || !value || !std::isfinite(*value)) fail(key, "is not a finite number");
    if (*value < least || *value > most) fail(key, "must be from " + shown(least) + " to " + shown(most));
    return *value;
  }
  unsigned count(std::string_view key, unsigned fallback, unsigned least, unsigned most) {
    const toml::node* const node = find(key);
    if (node && !node->is_integer()) fail(key, "is not an integer");
    return static_cast<unsigned>(number(key, fallback, least, most));
  }
  bool boolean(std::string_view key, bool fallback) {
    const toml::node* const node = find(key);
    if (!node) return fallback;
    if (!node->is_boolean()) fail(key, "is not a boolean");
    return node->value_or(fallback);
  }
  std::string string(std::string_view key, std::string fallback,
                     const std::vector<std::string>& allowed = {}) {
    const toml::node* const node = find(key);
    if (!node) return fallback;
    const auto value = node->value<std::string>();
    if (!node->is_string() || !value) fail(key, "is not a string");
    if (allowed.empty()) return *value;
    std::string all;
    for (const std::string& a : allowed) {
      if (a == *value) return *value;
      all += (all.empty() ? "" : ", ") + a;
    }
    fail(key, "'" + *value + "' is not one of " + all);
  }
  // A duration as a string with its unit, such as "250us", "1.5ms", "7s" or "2min".
  Micros duration(std::string_view key, Micros fallback, Micros least = Micros{0}) {
    const toml::node* const node = find(key);
    if (!node) return fallback;
    const auto value = node->value<std::string>();
    if (!node->is_string() || !value) fail(key, "is not a duration string with a unit, such as \"300ms\"");
    return parse_duration(key, *value, least);
  }
  std::vector<Micros> durations(std::string_view key, std::vector<Micros> fallback, std::size_t size) {
    std::vector<std::string> texts = strings(key, {});
    if (!has(key)) return fallback;
    if (texts.size() != size) fail(key, "must hold " + std::to_string(size) + " durations");
    std::vector<Micros> out;
    for (const std::string& t : texts) out.push_back(parse_duration(key, t, Micros{0}));
    return out;
  }
  std::vector<std::string> strings(std::string_view key, std::vector<std::string> fallback) {
    const toml::node* const node = find(key);
    if (!node) return fallback;
    const toml::array* const array = node->as_array();
    if (!array) fail(key, "is not an array");
    std::vector<std::string> out;
    for (const toml::node& e : *array) {
      if (!e.is_string()) fail(key, "holds an element that is not a string");
      out.push_back(e.value_or(std::string()));
    }
    return out;
  }
  // A reader of a nested table; of an empty one if the key is absent.
  TableReader table(std::string_view key) {
    const toml::node* const node = find(key);
    static const toml::table none;
    if (node && !node->is_table()) fail(key, "is not a table");
    return TableReader(node ? *node->as_table() : none, full_name(key), file_);
  }
  // Readers of an array of tables.
  std::vector<TableReader> tables(std::string_view key) {
    std::vector<TableReader> out;
    const toml::node* const node = find(key);
    if (!node) return out;
    const toml::array* const array = node->as_array();
    if (!array) fail(key, "is not an array of tables");
    for (const toml::node& e : *array) {
      if (!e.is_table()) fail(key, "holds an element that is not a table");
      out.push_back(
          TableReader(*e.as_table(), full_name(key) + "[" + std::to_string(out.size()) + "]", file_));
    }
    return out;
  }
  // The nested table itself, for content whose keys are not known here.
  const toml::table& raw_table(std::string_view key) {
    const toml::node* const node = find(key);
    static const toml::table none;
    if (node && !node->is_table()) fail(key, "is not a table");
    return node ? *node->as_table() : none;
  }
  // Raises InputError for the first key that no getter has read.
  void reject_unknown_keys() const {
    for (const auto& [key, node] : table_) {
      if (!read_keys_.contains(std::string(key.str()))) fail(key.str(), "is an unknown key");
    }
  }

 private:
  std::string full_name(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
  }
  static std::string shown(double value) {
    char out[32];
    std::snprintf(out, sizeof out, "%g", value);
    return out;
  }
  const toml::node* find(std::string_view key) {
    read_keys_.insert(std::string(key));
    return table_.get(key);
  }
  Micros parse_duration(std::string_view key, const std::string& text, Micros least) const {
    std::size_t end = 0;
    double value = -1;
    try {
      value = std::stod(text, &end);
    } catch (const std::exception&) {
    }
    const std::string unit = text.substr(std::min(end, text.size()));
    const double us_per_unit = unit == "us"    ? 1
                               : unit == "ms"  ? 1e3
                               : unit == "s"   ? 1e6
                               : unit == "min" ? 6e7
                                               : 0;
    if (us_per_unit == 0 || !(value >= 0) || value * us_per_unit > 1e12)
      fail(key, "'" + text + "' is not a duration with a unit, such as \"300ms\"");
    const Micros out{std::llround(value * us_per_unit)};
    if (out < least) fail(key, "must be at least " + std::to_string(least.count()) + "us");
    return out;
  }

  const toml::table& table_;
  std::string path_, file_;
  std::set<std::string> read_keys_;
};

}  // namespace flintweir::lab

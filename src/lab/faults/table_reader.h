// Reads a TOML table key by key, and complains with file, line and field of what is wrong, missing or left.
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

class TableReader {
 public:
  // `path` is the table's name in complaints, `file` the text before the line.
  TableReader(const toml::table& table, std::string path, std::string file)
      : table_(table), path_(std::move(path)), file_(std::move(file)) {}

  [[noreturn]] void fail(std::string_view key, const std::string& what) const {
    const toml::node* const node = table_.get(key);
    const auto line = (node ? node->source() : table_.source()).begin.line;
    throw InputError(file_ + ":" + std::to_string(line) + ": " + field(key) + ": " + what);
  }
  bool has(std::string_view key) const { return table_.contains(key); }

  double number(std::string_view key, double other, double least, double most) {
    const toml::node* const node = find(key);
    if (!node) return other;
    const auto value = node->value<double>();
    if (!node->is_number() || !value || !std::isfinite(*value)) fail(key, "is not a number");
    if (*value < least || *value > most) fail(key, "is not from " + text(least) + " to " + text(most));
    return *value;
  }
  unsigned count(std::string_view key, unsigned other, unsigned least, unsigned most) {
    const toml::node* const node = find(key);
    if (node && !node->is_integer()) fail(key, "is not a whole number");
    return static_cast<unsigned>(number(key, other, least, most));
  }
  bool boolean(std::string_view key, bool other) {
    const toml::node* const node = find(key);
    if (!node) return other;
    if (!node->is_boolean()) fail(key, "is neither true nor false");
    return node->value_or(other);
  }
  std::string string(std::string_view key, std::string other, const std::vector<std::string>& allowed = {}) {
    const toml::node* const node = find(key);
    if (!node) return other;
    const auto value = node->value<std::string>();
    if (!node->is_string() || !value) fail(key, "is not a text");
    if (allowed.empty()) return *value;
    std::string all;
    for (const std::string& a : allowed) {
      if (a == *value) return *value;
      all += (all.empty() ? "" : ", ") + a;
    }
    fail(key, "'" + *value + "' is none of " + all);
  }
  // A time with its unit in the text, as "250us", "1.5ms" or "7s".
  Micros duration(std::string_view key, Micros other, Micros least = Micros{0}) {
    const toml::node* const node = find(key);
    if (!node) return other;
    const auto value = node->value<std::string>();
    if (!node->is_string() || !value) fail(key, "is not a time with its unit in quotes, as \"300ms\"");
    return parse_duration(key, *value, least);
  }
  std::vector<Micros> durations(std::string_view key, std::vector<Micros> other, std::size_t size) {
    std::vector<std::string> texts = strings(key, {});
    if (!has(key)) return other;
    if (texts.size() != size) fail(key, "does not hold " + std::to_string(size) + " times");
    std::vector<Micros> out;
    for (const std::string& t : texts) out.push_back(parse_duration(key, t, Micros{0}));
    return out;
  }
  std::vector<std::string> strings(std::string_view key, std::vector<std::string> other) {
    const toml::node* const node = find(key);
    if (!node) return other;
    const toml::array* const row = node->as_array();
    if (!row) fail(key, "is not a list");
    std::vector<std::string> out;
    for (const toml::node& e : *row) {
      if (!e.is_string()) fail(key, "holds something that is not a text");
      out.push_back(e.value_or(std::string()));
    }
    return out;
  }
  // A table within this one; an empty one where it is absent.
  TableReader table(std::string_view key) {
    const toml::node* const node = find(key);
    static const toml::table none;
    if (node && !node->is_table()) fail(key, "is not a table");
    return TableReader(node ? *node->as_table() : none, field(key), file_);
  }
  // A list of tables.
  std::vector<TableReader> tables(std::string_view key) {
    std::vector<TableReader> out;
    const toml::node* const node = find(key);
    if (!node) return out;
    const toml::array* const row = node->as_array();
    if (!row) fail(key, "is not a list of tables");
    for (const toml::node& e : *row) {
      if (!e.is_table()) fail(key, "holds something that is not a table");
      out.push_back(TableReader(*e.as_table(), field(key) + "[" + std::to_string(out.size()) + "]", file_));
    }
    return out;
  }
  const toml::table& raw_table(std::string_view key) {
    const toml::node* const node = find(key);
    static const toml::table none;
    if (node && !node->is_table()) fail(key, "is not a table");
    return node ? *node->as_table() : none;
  }
  // Complains of the first key that nothing has asked for.
  void reject_unknown_keys() const {
    for (const auto& [key, node] : table_) {
      if (!read_keys_.contains(std::string(key.str()))) fail(key.str(), "is not known here");
    }
  }

 private:
  std::string field(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
  }
  static std::string text(double x) {
    char out[32];
    std::snprintf(out, sizeof out, "%g", x);
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
    const double scale = unit == "us" ? 1 : unit == "ms" ? 1e3 : unit == "s" ? 1e6 : unit == "min" ? 6e7 : 0;
    if (scale == 0 || !(value >= 0) || value * scale > 1e12)
      fail(key, "'" + text + "' is not a time with its unit, as \"300ms\"");
    const Micros out{std::llround(value * scale)};
    if (out < least) fail(key, "is under " + std::to_string(least.count()) + "us");
    return out;
  }

  const toml::table& table_;
  std::string path_, file_;
  std::set<std::string> read_keys_;
};

}  // namespace flintweir::lab

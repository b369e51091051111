// Reads the keys of a TOML document with validation. Every error becomes one line, FILE:LINE:COLUMN: KEY:
// text. Used for the operator's file and for changes of configuration.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "address.h"
#include "ids.h"
#include "printable_token.h"

namespace flintweir::setup {

// Collects the errors of one document.
class ErrorList {
 public:
  ErrorList(std::string path, std::vector<std::string>& lines) : path_(std::move(path)), lines_(lines) {}
  void add(const toml::source_region& at, const std::string& key, const std::string& text) {
    lines_.push_back(path_ + ':' + std::to_string(at.begin.line) + ':' + std::to_string(at.begin.column) +
                     ": " + key + ": " + text);
  }

 private:
  std::string path_;
  std::vector<std::string>& lines_;
};

// Empty, with the parser's error reported, if the text is not TOML.
inline std::optional<toml::table> parse_toml(const std::string& text, const std::string& path,
                                             ErrorList& errors) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    errors.add(e.source(), "toml", std::string(e.description()));
    return std::nullopt;
  }
}

// The Levenshtein distance.
inline std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0u);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] != b[j - 1]);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row.back();
}

// The error text for an unknown key: suggests the first known key within kMaxSuggestionDistance, or lists all
// keys.
inline constexpr std::size_t kMaxSuggestionDistance = 2;  // edits
inline std::string unknown_key_error(std::string_view key, const std::vector<std::string>& known) {
  std::string all;
  for (const std::string& k : known) {
    if (edit_distance(key, k) <= kMaxSuggestionDistance) return "unknown; did you mean '" + k + "'?";
    all += (all.empty() ? "" : ", ") + k;
  }
  return "unknown; allowed are " + all;
}

inline constexpr std::pair<std::string_view, Micros> kTimeUnits[] = {{"us", Micros{1}},
                                                                     {"ms", Micros{1000}},
                                                                     {"s", Micros{1000000}},
                                                                     {"min", Micros{60000000}},
                                                                     {"h", Micros{3600000000}}};

// Reads a whole number with a unit, as "300ms"; empty if malformed or over kMaxDurationUnits.
inline constexpr std::int64_t kMaxDurationUnits = 1'000'000'000;
inline std::optional<Micros> parse_duration(std::string_view text) {
  std::int64_t n;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc{} || n < 0 || n > kMaxDurationUnits) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& [name, size] : kTimeUnits)
    if (unit == name) return size * n;
  return std::nullopt;
}

// Writes a duration in its largest whole unit, as parse_duration() reads it.
inline std::string format_duration(Micros t) {
  for (auto unit = std::rbegin(kTimeUnits); unit != std::rend(kTimeUnits); ++unit)
    if (t % unit->second == Micros{0}) return std::to_string(t / unit->second) + std::string(unit->first);
  return "";
}

// Reads the keys of one table. A method reports an invalid value, and returns the fallback or an empty value
// then. The destructor reports each key of the table that was not asked for as unknown.
class Section {
 public:
  Section(const toml::table& table, std::string name, ErrorList& errors)
      : table_(table), name_(std::move(name)), errors_(errors) {}
  ~Section() {
    for (const auto& [key, node] : table_)
      if (std::find(known_.begin(), known_.end(), key.str()) == known_.end())
        errors_.add(key.source(), name_ + '.' + std::string(key.str()), unknown_key_error(key.str(), known_));
  }
  // Printable ASCII without blanks, quotes and backslashes. Required if there is no fallback.
  std::string token(const char* key, std::size_t max_length, std::optional<std::string> fallback) {
    const toml::node* const n = find(key, !fallback);
    if (!n) return fallback.value_or("");
    const auto text = n->value_exact<std::string>();
    const bool valid = text && !text->empty() && text->size() <= max_length && is_printable_token(*text);
    if (!valid)
      report(
          *n, key,
          "has to be a text of 1 to " + std::to_string(max_length) + " characters without blanks or quotes");
    return valid ? *text : "";
  }
  // Required if there is no fallback.
  Address address(const char* key, std::optional<Address> fallback) {
    const toml::node* const n = find(key, !fallback);
    return n ? read_address(*n, key) : fallback.value_or(Address());
  }
  std::vector<Address> addresses(const char* key) {
    std::vector<Address> out;
    const toml::node* const n = find(key, false);
    if (!n) return out;
    if (!n->is_array())
      return report(*n, key, R"(has to be a list of addresses like ["10.0.0.4:7946"])"), out;
    for (const toml::node& element : *n->as_array()) out.push_back(read_address(element, key));
    return out;
  }
  // A required list of distinct node names, with one of the allowed sizes.
  std::vector<std::string> node_names(const char* key, const std::vector<std::size_t>& allowed_sizes) {
    std::vector<std::string> out;
    const toml::node* const n = find(key, true);
    if (!n) return out;
    bool valid = n->is_array();
    if (valid)
      for (const toml::node& element : *n->as_array()) {
        out.push_back(element.value_exact<std::string>().value_or(""));
        valid = valid && !out.back().empty() && out.back().size() <= kMaxNodeNameBytes &&
                is_printable_token(out.back()) && std::count(out.begin(), out.end(), out.back()) == 1;
      }
    valid = valid && std::find(allowed_sizes.begin(), allowed_sizes.end(), out.size()) != allowed_sizes.end();
    if (!valid)
      report(*n, key, R"(has to be a list of 1, 3, 5 or 7 different names of nodes like ["n1", "n2", "n3"])");
    return out;
  }
  Micros duration(const char* key, Micros min, Micros max, Micros fallback) {
    const toml::node* const n = find(key, false);
    if (!n) return fallback;
    const auto text = n->value_exact<std::string>();
    const auto t = text ? parse_duration(*text) : std::nullopt;
    if (t && *t >= min && *t <= max) return *t;
    report(*n, key,
           "has to be a time with its unit (us, ms, s, min, h) from \"" + format_duration(min) + "\" to \"" +
               format_duration(max) + '"');
    return fallback;
  }
  double real(const char* key, double min, double max, double fallback) {
    const toml::node* const n = find(key, false);
    if (!n) return fallback;
    // Integers are accepted as well; strings and booleans are not.
    const auto x = n->is_number() ? n->value<double>() : std::nullopt;
    if (x && std::isfinite(*x) && *x >= min && *x <= max) return *x;
    std::ostringstream text;
    text << "has to be a number from " << min << " to " << max;
    report(*n, key, text.str());
    return fallback;
  }
  std::size_t integer(const char* key, std::int64_t min, std::int64_t max, std::int64_t fallback) {
    const toml::node* const n = find(key, false);
    const auto x = n ? n->value_exact<std::int64_t>() : fallback;
    if (x && *x >= min && *x <= max) return static_cast<std::size_t>(*x);
    report(*n, key, "has to be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return static_cast<std::size_t>(fallback);
  }
  bool has(const char* key) { return mark_known(key), table_.contains(key); }
  void mark_known(const char* key) { known_.emplace_back(key); }  // for keys that the caller reads itself
  // Reports the key, if present, as one that is allowed elsewhere but not here.
  void reject(const char* key, const char* reason) {
    if (const toml::node* const n = find(key, false)) report(*n, key, reason);
  }

 private:
  static constexpr std::size_t kMaxNodeNameBytes = 64;

  const toml::node* find(const char* key, bool required) {
    known_.emplace_back(key);
    const toml::node* const n = table_.get(key);
    if (!n && required) errors_.add(table_.source(), name_ + '.' + key, "is missing");
    return n;
  }
  Address read_address(const toml::node& n, const char* key) {
    const auto text = n.value_exact<std::string>();
    const auto at = text ? parse_address(*text) : std::nullopt;
    if (!at || at->port == 0)
      report(n, key, "has to be a numeric address with a port, like \"10.0.0.4:7946\"");
    return at.value_or(Address());
  }
  void report(const toml::node& n, const char* key, const std::string& text) {
    errors_.add(n.source(), name_ + '.' + key, text);
  }

  const toml::table& table_;
  std::string name_;
  ErrorList& errors_;
  std::vector<std::string> known_;
};

}  // namespace flintweir::setup

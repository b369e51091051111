// Keys of a TOML text, each read with what is allowed and a line for all that is wrong: FILE:LINE:COLUMN:
// KEY: what. For the operator's file and for changes.
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

// Where the file is wrong.
class Complaints {
 public:
  Complaints(std::string path, std::vector<std::string>& lines) : path_(std::move(path)), lines_(lines) {}
  void add(const toml::source_region& at, const std::string& key, const std::string& what) {
    lines_.push_back(path_ + ':' + std::to_string(at.begin.line) + ':' + std::to_string(at.begin.column) +
                     ": " + key + ": " + what);
  }

 private:
  std::string path_;
  std::vector<std::string>& lines_;
};

// Nothing, and a line that says why, where it is no TOML.
inline std::optional<toml::table> parsed_or_said(const std::string& text, const std::string& path,
                                                 Complaints& complaints) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    complaints.add(e.source(), "toml", std::string(e.description()));
    return std::nullopt;
  }
}

inline std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0u);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t changed = corner + (a[i - 1] != b[j - 1]);
      corner = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
    }
  }
  return row.back();
}

inline std::string near(std::string_view wrong, const std::vector<std::string>& known) {
  std::string all;
  for (const std::string& k : known) {
    if (distance(wrong, k) <= 2) return "unknown; did you mean '" + k + "'?";
    all += (all.empty() ? "" : ", ") + k;
  }
  return "unknown; allowed are " + all;
}

inline constexpr std::pair<std::string_view, Micros> kUnits[] = {{"us", Micros{1}},
                                                                 {"ms", Micros{1000}},
                                                                 {"s", Micros{1000000}},
                                                                 {"min", Micros{60000000}},
                                                                 {"h", Micros{3600000000}}};

inline std::optional<Micros> time_of(std::string_view text) {
  std::int64_t n;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc{} || n < 0 || n > 1'000'000'000) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& [name, size] : kUnits)
    if (unit == name) return size * n;
  return std::nullopt;
}

inline std::string to_text(Micros t) {
  for (auto unit = std::rbegin(kUnits); unit != std::rend(kUnits); ++unit)
    if (t % unit->second == Micros{0}) return std::to_string(t / unit->second) + std::string(unit->first);
  return "";
}

// One section, key by key; those that were not asked for are unknown.
class Section {
 public:
  Section(const toml::table& table, std::string name, Complaints& wrong)
      : table_(table), name_(std::move(name)), wrong_(wrong) {}
  ~Section() {
    for (const auto& [key, node] : table_)
      if (std::find(known_.begin(), known_.end(), key.str()) == known_.end())
        wrong_.add(key.source(), name_ + '.' + std::string(key.str()), near(key.str(), known_));
  }
  // Printable, no blanks, quotes or backslashes.
  std::string word(const char* key, std::size_t longest, std::optional<std::string> other) {
    const toml::node* const n = find(key, !other);
    if (!n) return other.value_or("");
    const auto text = n->value_exact<std::string>();
    const bool fits = text && !text->empty() && text->size() <= longest && is_printable_token(*text);
    if (!fits)
      complain(
          *n, key,
          "has to be a text of 1 to " + std::to_string(longest) + " characters without blanks or quotes");
    return fits ? *text : "";
  }
  Address address(const char* key, std::optional<Address> other) {
    const toml::node* const n = find(key, !other);
    return n ? address_in(*n, key) : other.value_or(Address());
  }
  std::vector<Address> addresses(const char* key) {
    std::vector<Address> out;
    const toml::node* const n = find(key, false);
    if (!n) return out;
    if (!n->is_array())
      return complain(*n, key, R"(has to be a list of addresses like ["10.0.0.4:7946"])"), out;
    for (const toml::node& one : *n->as_array()) out.push_back(address_in(one, key));
    return out;
  }
  std::vector<std::string> names(const char* key, const std::vector<std::size_t>& how_many) {
    std::vector<std::string> out;
    const toml::node* const n = find(key, true);
    if (!n) return out;
    bool good = n->is_array();
    if (good)
      for (const toml::node& one : *n->as_array()) {
        out.push_back(one.value_exact<std::string>().value_or(""));
        good = good && !out.back().empty() && out.back().size() <= 64 && is_printable_token(out.back()) &&
               std::count(out.begin(), out.end(), out.back()) == 1;
      }
    good = good && std::find(how_many.begin(), how_many.end(), out.size()) != how_many.end();
    if (!good)
      complain(*n, key,
               R"(has to be a list of 1, 3, 5 or 7 different names of nodes like ["n1", "n2", "n3"])");
    return out;
  }
  Micros time(const char* key, Micros least, Micros most, Micros other) {
    const toml::node* const n = find(key, false);
    if (!n) return other;
    const auto text = n->value_exact<std::string>();
    const auto t = text ? time_of(*text) : std::nullopt;
    if (t && *t >= least && *t <= most) return *t;
    complain(*n, key,
             "has to be a time with its unit (us, ms, s, min, h) from \"" + to_text(least) + "\" to \"" +
                 to_text(most) + '"');
    return other;
  }
  double real(const char* key, double least, double most, double other) {
    const toml::node* const n = find(key, false);
    if (!n) return other;
    // A whole number is one as well; a text or a truth is not.
    const auto x = n->is_number() ? n->value<double>() : std::nullopt;
    if (x && std::isfinite(*x) && *x >= least && *x <= most) return *x;
    std::ostringstream what;
    what << "has to be a number from " << least << " to " << most;
    complain(*n, key, what.str());
    return other;
  }
  bool has(const char* key) { return knows(key), table_.contains(key); }
  void knows(const char* key) { known_.emplace_back(key); }  // read by others
  // A key that is known elsewhere but not here.
  void refuse(const char* key, const char* why) {
    if (const toml::node* const n = find(key, false)) complain(*n, key, why);
  }
  std::size_t number(const char* key, std::int64_t least, std::int64_t most, std::int64_t other) {
    const toml::node* const n = find(key, false);
    const auto x = n ? n->value_exact<std::int64_t>() : other;
    if (x && *x >= least && *x <= most) return static_cast<std::size_t>(*x);
    complain(*n, key,
             "has to be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return static_cast<std::size_t>(other);
  }

 private:
  const toml::node* find(const char* key, bool needed) {
    known_.emplace_back(key);
    const toml::node* const n = table_.get(key);
    if (!n && needed) wrong_.add(table_.source(), name_ + '.' + key, "is missing");
    return n;
  }
  Address address_in(const toml::node& n, const char* key) {
    const auto text = n.value_exact<std::string>();
    const auto at = text ? parse_address(*text) : std::nullopt;
    if (!at || at->port == 0)
      complain(n, key, "has to be a numeric address with a port, like \"10.0.0.4:7946\"");
    return at.value_or(Address());
  }
  void complain(const toml::node& n, const char* key, const std::string& what) {
    wrong_.add(n.source(), name_ + '.' + key, what);
  }

  const toml::table& table_;
  std::string name_;
  Complaints& wrong_;
  std::vector<std::string> known_;
};

}  // namespace flintweir::setup

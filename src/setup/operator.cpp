#include "setup/operator.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <numeric>
#include <sstream>

#include "plain_text.h"
#include "setup/values.h"

namespace flintweir::setup {
namespace {

using namespace std::chrono_literals;

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

std::size_t distance(std::string_view a, std::string_view b) {
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

std::string near(std::string_view wrong, const std::vector<std::string>& known) {
  std::string all;
  for (const std::string& k : known) {
    if (distance(wrong, k) <= 2) return "unknown; did you mean '" + k + "'?";
    all += (all.empty() ? "" : ", ") + k;
  }
  return "unknown; allowed are " + all;
}

constexpr std::pair<std::string_view, Micros> kUnits[] = {
    {"us", 1us}, {"ms", 1ms}, {"s", 1s}, {"min", 1min}, {"h", 1h}};

std::optional<Micros> time_of(std::string_view text) {
  std::int64_t n;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc{} || n < 0 || n > 1'000'000'000) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& [name, size] : kUnits)
    if (unit == name) return size * n;
  return std::nullopt;
}

std::string to_text(Micros t) {
  for (auto unit = std::rbegin(kUnits); unit != std::rend(kUnits); ++unit)
    if (t % unit->second == 0us) return std::to_string(t / unit->second) + std::string(unit->first);
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
    const bool fits = text && !text->empty() && text->size() <= longest && is_plain(*text);
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
        good = good && !out.back().empty() && out.back().size() <= 64 && is_plain(out.back()) &&
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
    const auto at = text ? address_of(*text) : std::nullopt;
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

FleetSection fleet_of(const toml::table& table, Complaints& wrong) {
  Section s(table, "fleet", wrong);
  FleetSection out;
  out.name = s.word("name", 64, std::nullopt);
  out.address = s.address("address", std::nullopt);
  out.told = s.address("told", out.address);
  out.zone = s.word("zone", 32, "");
  out.seeds = s.addresses("seeds");
  out.interval = s.time("interval", 50ms, 60s, 300ms);
  out.forget = s.time("forget", 1min, 720h, 1h);
  out.most = s.number("most", 1, 4096, 4096);
  return out;
}

}  // namespace

OperatorFile OperatorFile::of_text(const std::string& text, const std::string& path,
                                   std::vector<std::string>& wrong) {
  Complaints complaints(path, wrong);
  OperatorFile out;
  toml::table table;
  try {
    table = toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    complaints.add(e.source(), "toml", std::string(e.description()));
    return out;
  }
  const std::vector<std::string> sections = {"fleet", "leases"};
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    if (std::find(sections.begin(), sections.end(), name) == sections.end())
      complaints.add(key.source(), name, near(name, sections));
    else if (!node.is_table())
      complaints.add(key.source(), name, "has to be a section, [" + name + ']');
  }
  if (const toml::table* const fleet = table["fleet"].as_table()) out.fleet = fleet_of(*fleet, complaints);
  if (const toml::table* const leases = table["leases"].as_table()) {
    Section s(*leases, "leases", complaints);
    out.leases = LeasesSection{s.names("voters", {1, 3, 5, 7}), s.time("length", 500ms, 1h, 2s),
                               s.word("folder", 200, "")};
    if (!out.fleet)
      complaints.add(leases->source(), "leases", "needs [fleet] as well: voters are reached through it");
  }
  return out;
}

OperatorFile OperatorFile::of_file(const std::string& path, std::vector<std::string>& wrong) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    wrong.push_back(path + ":1:1: file: can't be read");
    return {};
  }
  return of_text(text.str(), path, wrong);
}

OperatorFile OperatorFile::read(const std::string& path) {
  std::vector<std::string> wrong;
  OperatorFile out = of_file(path, wrong);
  if (!wrong.empty()) bad(wrong.front());
  return out;
}

}  // namespace flintweir::setup

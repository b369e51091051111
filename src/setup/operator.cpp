#include "setup/operator.h"

#include <fstream>
#include <sstream>

#include "setup/json_object.h"
#include "setup/toml_section.h"

namespace flintweir::setup {
namespace {

using namespace std::chrono_literals;

FleetSection fleet_of(const toml::table& table, Complaints& wrong) {
  Section s(table, "fleet", wrong);
  FleetSection out;
  out.name = s.word("name", 64, std::nullopt);
  out.address = s.address("address", std::nullopt);
  out.advertised = s.address("told", out.address);
  out.zone = s.word("zone", 32, "");
  out.seeds = s.addresses("seeds");
  out.probe_interval = s.time("interval", 50ms, 60s, 300ms);
  out.forget_after = s.time("forget", 1min, 720h, 1h);
  out.max_members = s.number("most", 1, 4096, 4096);
  return out;
}

}  // namespace

OperatorFile OperatorFile::parse(const std::string& text, const std::string& path,
                                 std::vector<std::string>& wrong) {
  Complaints complaints(path, wrong);
  OperatorFile out;
  const std::optional<toml::table> parsed = parsed_or_said(text, path, complaints);
  if (!parsed) return out;
  const toml::table& table = *parsed;
  const std::vector<std::string> sections = {"fleet", "leases", "changes"};
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
  if (const toml::table* const changes = table["changes"].as_table()) {
    Section s(*changes, "changes", complaints);
    out.changes = ChangesSection{s.word("folder", 200, "")};
    if (!out.fleet)
      complaints.add(changes->source(), "changes", "needs [fleet] as well: members pass changes on");
  }
  return out;
}

OperatorFile OperatorFile::load(const std::string& path, std::vector<std::string>& wrong) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    wrong.push_back(path + ":1:1: file: can't be read");
    return {};
  }
  return parse(text.str(), path, wrong);
}

OperatorFile OperatorFile::load_or_throw(const std::string& path) {
  std::vector<std::string> wrong;
  OperatorFile out = load(path, wrong);
  if (!wrong.empty()) throw_invalid_input(wrong.front());
  return out;
}

}  // namespace flintweir::setup

#include "setup/operator.h"

#include <fstream>
#include <sstream>

#include "setup/json_object.h"
#include "setup/toml_section.h"

namespace flintweir::setup {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32, kMaxPathBytes = 200;
constexpr std::int64_t kMaxMembers = 4096;

FleetSection read_fleet(const toml::table& table, ErrorList& errors) {
  Section s(table, "fleet", errors);
  FleetSection out;
  out.name = s.token("name", kMaxNameBytes, std::nullopt);
  out.address = s.address("address", std::nullopt);
  out.advertised = s.address("told", out.address);
  out.zone = s.token("zone", kMaxZoneBytes, "");
  out.seeds = s.addresses("seeds");
  out.probe_interval = s.duration("interval", 50ms, 60s, 300ms);
  out.forget_after = s.duration("forget", 1min, 720h, 1h);
  out.max_members = s.integer("most", 1, kMaxMembers, kMaxMembers);
  return out;
}

}  // namespace

OperatorFile OperatorFile::parse(const std::string& text, const std::string& path,
                                 std::vector<std::string>& errors) {
  ErrorList error_list(path, errors);
  OperatorFile out;
  const std::optional<toml::table> parsed = parse_toml(text, path, error_list);
  if (!parsed) return out;
  const toml::table& table = *parsed;
  const std::vector<std::string> sections = {"fleet", "leases", "changes"};
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    if (std::find(sections.begin(), sections.end(), name) == sections.end())
      error_list.add(key.source(), name, unknown_key_error(name, sections));
    else if (!node.is_table())
      error_list.add(key.source(), name, "has to be a section, [" + name + ']');
  }
  if (const toml::table* const fleet = table["fleet"].as_table()) out.fleet = read_fleet(*fleet, error_list);
  if (const toml::table* const leases = table["leases"].as_table()) {
    Section s(*leases, "leases", error_list);
    out.leases = LeasesSection{s.node_names("voters", {1, 3, 5, 7}), s.duration("length", 500ms, 1h, 2s),
                               s.token("folder", kMaxPathBytes, "")};
    if (!out.fleet)
      error_list.add(leases->source(), "leases", "needs [fleet] as well: voters are found through the fleet");
  }
  if (const toml::table* const changes = table["changes"].as_table()) {
    Section s(*changes, "changes", error_list);
    out.changes = ChangesSection{s.token("folder", kMaxPathBytes, "")};
    if (!out.fleet)
      error_list.add(changes->source(), "changes",
                     "needs [fleet] as well: changes are replicated among its members");
  }
  return out;
}

OperatorFile OperatorFile::load(const std::string& path, std::vector<std::string>& errors) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    errors.push_back(path + ":1:1: file: can't be read");
    return {};
  }
  return parse(text.str(), path, errors);
}

OperatorFile OperatorFile::load_or_throw(const std::string& path) {
  std::vector<std::string> errors;
  OperatorFile out = load(path, errors);
  if (!errors.empty()) throw_invalid_input(errors.front());
  return out;
}

}  // namespace flintweir::setup

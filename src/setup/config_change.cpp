#include "setup/config_change.h"

#include "setup/deployment.h"
#include "setup/toml_section.h"

namespace flintweir::setup {
namespace {

using namespace std::chrono_literals;

constexpr const char* kNeedsRestart = "can't change while nodes run: change the files and restart them";

// Hosts' records, clients' answers and what sessions were promised hang on these.
constexpr const char* kListenerAtStart[] = {"dial_timeout", "effect", "group", "memory", "name"};
constexpr const char* kLimitsAtStart[] = {"connect_timeout", "probes", "longest_stay_away", "further_dials"};
constexpr const char* kAtStart[] = {"name",  "listen", "seed",    "limits", "known",  "fleet",
                                    "zones", "rules",  "reports", "leases", "changes"};

ListenerChange listener_of(const toml::table& table, const std::string& name, Complaints& wrong) {
  Section s(table, "listener." + name, wrong);
  ListenerChange out;
  if (s.has("handshake_target")) out.handshake_target = s.time("handshake_target", 1ms, 1h, 1ms);
  if (s.has("utility")) out.utility = s.real("utility", 0, 1e9, 1);
  for (const char* key : kListenerAtStart) s.refuse(key, kNeedsRestart);
  return out;
}

}  // namespace

ConfigChange ConfigChange::parse(const std::string& text, const std::string& path,
                                 std::vector<std::string>& wrong) {
  Complaints complaints(path, wrong);
  ConfigChange out;
  const std::optional<toml::table> parsed = parsed_or_said(text, path, complaints);
  if (!parsed) return out;
  const toml::table& table = *parsed;
  Section top(table, "change", complaints);
  if (top.has("discovery")) out.discovery = top.address("discovery", std::nullopt);
  for (const char* key : kAtStart) top.refuse(key, kNeedsRestart);
  const auto section = [&](const char* key) -> const toml::table* {
    if (!top.has(key)) return nullptr;
    const toml::node& n = *table.get(key);
    if (!n.is_table()) top.refuse(key, "has to be a section");
    top.knows(key);
    return n.as_table();
  };
  if (const toml::table* const listeners = section("listener"))
    for (const auto& [name, node] : *listeners) {
      if (node.is_table())
        out.listeners[std::string(name.str())] =
            listener_of(*node.as_table(), std::string(name.str()), complaints);
      else
        complaints.add(node.source(), "listener." + std::string(name.str()), "has to be a section");
    }
  if (const toml::table* const ceilings = section("ceilings")) {
    Section s(*ceilings, "ceilings", complaints);
    if (s.has("most_dials")) out.most_dials = static_cast<unsigned>(s.number("most_dials", 1, 64, 1));
    for (const char* key : kLimitsAtStart) s.refuse(key, kNeedsRestart);
  }
  if (const toml::table* const prices = section("prices")) {
    Section s(*prices, "prices", complaints);
    if (s.has("probe")) out.probe = s.real("probe", 0, 1e6, 0);
    if (s.has("crossing")) out.crossing = s.real("crossing", 0, 1e6, 0);
  }
  return out;
}

RuntimeSettings apply_change(RuntimeSettings own, const std::vector<std::string>& names,
                             const ConfigChange& change, std::vector<std::string>& wrong) {
  for (const auto& [name, c] : change.listeners) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) {
      wrong.push_back("listener." + name + ": there is no such listener here");
      continue;
    }
    Listener& l = own.listeners[static_cast<std::size_t>(at - names.begin())];
    if (c.handshake_target && *c.handshake_target > l.dial_timeout)
      wrong.push_back("listener." + name + ".handshake_target: is over its dial timeout here");
    l.handshake_target = c.handshake_target.value_or(l.handshake_target);
    l.utility = c.utility.value_or(l.utility);
  }
  own.dials.max_dials = change.most_dials.value_or(own.dials.max_dials);
  if (change.probe && !own.prices.probe) wrong.push_back("prices.probe: hosts may not be probed here");
  if (change.probe) own.prices.probe = change.probe;
  own.prices.zone_crossing = change.crossing.value_or(own.prices.zone_crossing);
  return own;
}

}  // namespace flintweir::setup

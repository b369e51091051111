#include "setup/config_change.h"

#include "setup/deployment.h"
#include "setup/toml_section.h"

namespace flintweir::setup {
namespace {

using namespace std::chrono_literals;

constexpr const char* kNeedsRestart = "can't change while nodes run: change the files and restart them";

// These keys can't change while nodes run: the records that hosts keep, the answers that clients were given
// and the guarantees to open sessions depend on them.
constexpr const char* kFixedListenerKeys[] = {"dial_timeout", "effect", "group", "memory", "name"};
constexpr const char* kFixedCeilingKeys[] = {"connect_timeout", "probes", "longest_stay_away",
                                             "further_dials"};
constexpr const char* kFixedKeys[] = {"name",  "listen", "seed",    "limits", "known",  "fleet",
                                      "zones", "rules",  "reports", "leases", "changes"};

ListenerChange read_listener(const toml::table& table, const std::string& name, ErrorList& errors) {
  Section s(table, "listener." + name, errors);
  ListenerChange out;
  if (s.has("handshake_target")) out.handshake_target = s.duration("handshake_target", 1ms, 1h, 1ms);
  if (s.has("utility")) out.utility = s.real("utility", 0, 1e9, 1);
  for (const char* key : kFixedListenerKeys) s.reject(key, kNeedsRestart);
  return out;
}

}  // namespace

ConfigChange ConfigChange::parse(const std::string& text, const std::string& path,
                                 std::vector<std::string>& errors) {
  ErrorList error_list(path, errors);
  ConfigChange out;
  const std::optional<toml::table> parsed = parse_toml(text, path, error_list);
  if (!parsed) return out;
  const toml::table& table = *parsed;
  Section top(table, "change", error_list);
  if (top.has("discovery")) out.discovery = top.address("discovery", std::nullopt);
  for (const char* key : kFixedKeys) top.reject(key, kNeedsRestart);
  const auto section = [&](const char* key) -> const toml::table* {
    if (!top.has(key)) return nullptr;
    const toml::node& n = *table.get(key);
    if (!n.is_table()) top.reject(key, "has to be a section");
    top.mark_known(key);
    return n.as_table();
  };
  if (const toml::table* const listeners = section("listener"))
    for (const auto& [name, node] : *listeners) {
      if (node.is_table())
        out.listeners[std::string(name.str())] =
            read_listener(*node.as_table(), std::string(name.str()), error_list);
      else
        error_list.add(node.source(), "listener." + std::string(name.str()), "has to be a section");
    }
  if (const toml::table* const ceilings = section("ceilings")) {
    Section s(*ceilings, "ceilings", error_list);
    if (s.has("most_dials")) out.max_dials = static_cast<unsigned>(s.integer("most_dials", 1, 64, 1));
    for (const char* key : kFixedCeilingKeys) s.reject(key, kNeedsRestart);
  }
  if (const toml::table* const prices = section("prices")) {
    Section s(*prices, "prices", error_list);
    if (s.has("probe")) out.probe = s.real("probe", 0, 1e6, 0);
    if (s.has("crossing")) out.crossing = s.real("crossing", 0, 1e6, 0);
  }
  return out;
}

RuntimeSettings apply_change(RuntimeSettings settings, const std::vector<std::string>& listener_names,
                             const ConfigChange& change, std::vector<std::string>& errors) {
  for (const auto& [name, changed] : change.listeners) {
    const auto at = std::find(listener_names.begin(), listener_names.end(), name);
    if (at == listener_names.end()) {
      errors.push_back("listener." + name + ": no such listener on this node");
      continue;
    }
    Listener& listener = settings.listeners[static_cast<std::size_t>(at - listener_names.begin())];
    if (changed.handshake_target && *changed.handshake_target > listener.dial_timeout)
      errors.push_back("listener." + name + ".handshake_target: is over its dial timeout on this node");
    listener.handshake_target = changed.handshake_target.value_or(listener.handshake_target);
    listener.utility = changed.utility.value_or(listener.utility);
  }
  settings.dials.max_dials = change.max_dials.value_or(settings.dials.max_dials);
  if (change.probe && !settings.prices.probe)
    errors.push_back("prices.probe: hosts may not be probed by this node");
  if (change.probe) settings.prices.probe = change.probe;
  settings.prices.zone_crossing = change.crossing.value_or(settings.prices.zone_crossing);
  return settings;
}

}  // namespace flintweir::setup

#include "lab/faults/plan.h"

#include <algorithm>

#include "lab/faults/table_reader.h"
#include "lab/reports/meter.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

Effect effect_of(const std::string& name) {
  return name == "once-only"    ? Effect::once_only
         : name == "referenced" ? Effect::referenced
                                : Effect::repeatable;
}

DedupScope dedup_scope_of(const std::string& name) {
  return name == "zone" ? DedupScope::zone : name == "cell" ? DedupScope::cell : DedupScope::all;
}

void read_range(TableReader& f, std::string_view key, Micros (&out)[2], Micros least, Micros most) {
  const auto both = f.durations(key, {least, most}, 2);
  if (both[0] > both[1]) f.fail(key, "has the larger duration first");
  out[0] = both[0];
  out[1] = both[1];
}

FleetPlan fleet_of(TableReader f) {
  FleetPlan out;
  out.zones = f.strings("zones", {"east", "west"});
  if (out.zones.empty()) f.fail("zones", "is empty");
  out.nodes = f.count("nodes", 3, 1, 1000);
  out.hosts = f.count("hosts", 12, 1, 5000);
  double all = 0;
  for (TableReader& k : f.tables("kind")) {
    out.kinds.push_back(
        {k.number("share", 1, 0, 1), k.number("cores", 2, 0.1, 256), k.number("speed", 1, 0.01, 100)});
    all += out.kinds.back().share;
    k.reject_unknown_keys();
  }
  if (out.kinds.empty()) out.kinds.push_back({1, 2, 1});
  if (f.has("kind") && all <= 0) f.fail("kind", "needs a share above zero");
  f.reject_unknown_keys();
  return out;
}

LinkModel link_model_of(TableReader f, const std::vector<std::string>& zones) {
  LinkModel out;
  out.within_zone = f.duration("within", 250us);
  out.across = f.duration("across", 4ms);
  out.jitter = f.number("jitter", 0.2, 0, 10);
  out.window = f.count("window", 64u << 10, 256, 1u << 30);
  out.partial = f.number("partial", 0, 0, 1);
  for (TableReader& p : f.tables("pair")) {
    std::vector<ZoneId> both;
    for (const std::string& name : p.strings("between", {})) {
      const auto found = std::find(zones.begin(), zones.end(), name);
      if (found == zones.end()) p.fail("between", "there is no zone '" + name + "'");
      both.push_back({static_cast<std::uint32_t>(found - zones.begin())});
    }
    if (both.size() != 2 || both[0] == both[1]) p.fail("between", "must name two different zones");
    out.pairs.push_back({both[0], both[1], p.duration("one_way", out.across)});
    p.reject_unknown_keys();
  }
  f.reject_unknown_keys();
  return out;
}

ColdPlan cold_of(TableReader f) {
  const ColdPlan out{f.number("share", 0.3, 0.01, 1), f.duration("warm_within", 8s),
                     f.number("multiple", 3, 1, 100), f.duration("tip_after", 1500ms, 1ms)};
  f.reject_unknown_keys();
  return out;
}

HostPlan host_of(TableReader f) {
  HostPlan out;
  read_range(f, "answers", out.response_delay, 4ms, 20ms);
  out.service_time = f.duration("serves", 3ms);
  out.report_interval = f.duration("refresh", 500ms, 10ms);
  out.max_connections = f.count("connections", 400, 1, 100000);
  out.group_cost = f.number("group_cost", 0, 0, 100);
  const std::string drain_policy = f.string("sends_away", "bit by bit", {"at once", "bit by bit", "keeps"});
  out.drain_policy = drain_policy == "at once" ? DrainPolicy::move_at_once
                     : drain_policy == "keeps" ? DrainPolicy::keep
                                               : DrainPolicy::move_gradually;
  out.drain_duration = f.duration("leaves_after", 6s);
  out.drain_grace = f.duration("grace", 300ms);
  f.reject_unknown_keys();
  return out;
}

ListPlan list_of(TableReader f) {
  ListPlan out;
  read_range(f, "late", out.update_delay, 500ms, 2s);
  out.poll_interval = f.duration("ask_every", 10s, 100ms);
  out.only_draining_binds = f.boolean("only_draining_binds", false);
  f.reject_unknown_keys();
  return out;
}

FrontPlan front_of(TableReader f) {
  FrontPlan out;
  out.check_interval = f.duration("check_every", 500ms, 10ms);
  read_range(f, "notices", out.failure_detection_delay, 1s, 2500ms);
  f.reject_unknown_keys();
  return out;
}

ListenerPlan listener_of(TableReader& f) {
  ListenerPlan out;
  out.name = f.string("name", "");
  if (out.name.empty() || out.name.find_first_of(" ,=\"") != out.name.npos)
    f.fail("name", "is missing, or contains a space, comma, equals sign or quotation mark");
  out.share = f.number("share", 1, 0, 1e6);
  out.rules.handshake_target = f.duration("handshake_target", 500ms, 1ms);
  out.rules.dial_timeout = f.duration("dial_timeout", 2s, 1ms);
  if (out.rules.dial_timeout < out.rules.handshake_target)
    f.fail("dial_timeout", "is less than the handshake target");
  out.rules.effect = effect_of(f.string("effect", "repeatable", {"repeatable", "referenced", "once-only"}));
  out.rules.dedup_scope = dedup_scope_of(f.string("reach", "all", {"all", "zone", "cell"}));
  out.rules.dedup_window = f.duration("memory", 2s);
  out.rules.utility = f.number("utility", 1, 0, 1e6);
  out.load_factor = f.number("load", 1, 0.001, 1000);
  out.lifetime_factor = f.number("life", 1, 0.001, 1000);
  out.rules.message_target = f.duration("message_target", 150ms);
  f.reject_unknown_keys();
  return out;
}

TrafficPlan traffic_of(TableReader f, std::vector<TableReader> listeners) {
  TrafficPlan out;
  out.clients = f.count("clients", 200, 0, 100000);
  out.mean_pause = f.duration("pause", 6s, 1ms);
  out.mean_lifetime = f.duration("life", 20s, 10ms);
  out.mean_load = f.number("load", 60000, 1, 1e9);
  out.load_drift = f.number("drift", 0.1, 0, 10);
  out.message_interval = f.duration("speaks_every", 2s, 1ms);
  out.message_bytes[0] = f.count("line_least", 24, 24, 4000);
  out.message_bytes[1] = f.count("line_most", 400, 24, 4000);
  if (out.message_bytes[0] > out.message_bytes[1]) f.fail("line_most", "is less than line_least");
  out.groups = f.count("groups", 0, 0, 100000);
  out.retries = f.count("retries", 2, 0, 100);
  out.retry_delay = f.duration("retry_after", 200ms);
  read_range(f, "returns", out.reconnect_delay, 100ms, 800ms);
  out.retry_after_compliance = f.number("honours", 1, 0, 1);
  out.early_leave_share = f.number("leaves", 0, 0, 1);
  out.misbehaving_clients = f.count("rude", 0, 0, 1000);
  f.reject_unknown_keys();
  double all = 0;
  for (TableReader& l : listeners) {
    out.listeners.push_back(listener_of(l));
    all += out.listeners.back().share;
  }
  if (out.listeners.empty())
    out.listeners.push_back(
        {"chat", 1, {500ms, 2s, Effect::repeatable, DedupScope::all, 2s, 1, 150ms}, 1, 1});
  else if (all <= 0)
    listeners.back().fail("share", "at least one listener needs a share above zero");
  return out;
}

NodePlan node_of(TableReader f) {
  NodePlan out;
  out.sockets = f.count("sockets", 1024, 64, 1000000);
  out.memory_mb = f.count("memory_mb", 192, 8, 1000000);
  out.max_dials = f.count("most_dials", 6, 1, 6);
  out.connect_timeout = f.duration("connect_timeout", 120ms, 1ms);
  out.max_retry_after = f.duration("longest_stay_away", 1500ms);
  out.probes = f.boolean("probes", true);
  out.probe_price = f.number("probe_price", 0.002, 0, 1000);
  out.crossing_price = f.number("crossing_price", 0.05, 0, 1000);
  out.balancer = f.string("balancer", "module", {"module", "random", "round-robin", "least-connections"});
  out.told_node_share = f.number("count_told", 1, 0.001, 1000);
  out.joins_fleet = f.boolean("fleet", false);
  f.reject_unknown_keys();
  return out;
}

FaultPlan fault_of(TableReader& f, const FleetPlan& fleet, unsigned line) {
  FaultPlan out;
  std::vector<std::string> kinds;
  for (const FaultKind& k : fault_kinds()) kinds.emplace_back(k.name);
  out.kind = f.string("kind", "", kinds);
  if (out.kind.empty()) f.fail("kind", "is missing");
  if (f.has("at")) out.at = f.duration("at", 0us);
  if (f.has("every")) out.every = f.duration("every", 0us, 1ms);
  if (out.at.has_value() == out.every.has_value())
    f.fail("at", "exactly one of 'at' and 'every' is required");
  out.duration = f.duration("lasts", 5s, 1ms);
  out.share = f.number("share", 0, 0, 1);
  out.magnitude = f.number("size", 0.5, 0, 1000);
  out.target_name = f.string("where", "");
  out.index = line;
  if (!out.target_name.empty()) {
    const std::string_view target_kind =
        std::find_if(fault_kinds().begin(), fault_kinds().end(), [&](const auto& k) {
          return k.name == out.kind;
        })->target_kind;
    bool found = false;
    if (target_kind == "zone" || target_kind == "host")
      found = std::find(fleet.zones.begin(), fleet.zones.end(), out.target_name) != fleet.zones.end();
    const auto match_numbered = [&](const char* prefix, unsigned count) {
      for (unsigned i = 0; i < count; ++i) found = found || out.target_name == prefix + std::to_string(i);
    };
    if (target_kind == "host") match_numbered("s-", fleet.hosts);
    if (target_kind == "node") match_numbered("n", fleet.nodes);
    if (!found)
      f.fail("where", "there is no " + std::string(target_kind) +
                          (target_kind == "host" ? " or zone '" : " '") + out.target_name + "'");
  }
  f.reject_unknown_keys();
  return out;
}

// Replaces values of the file by those of a variant, whose keys are dotted paths.
void apply_variant(toml::table& whole, const toml::table& values, const std::string& file) {
  for (const auto& [key, value] : values) {
    toml::table* at = &whole;
    std::string_view rest = key.str();
    for (std::size_t dot; (dot = rest.find('.')) != rest.npos; rest.remove_prefix(dot + 1)) {
      const std::string_view name = rest.substr(0, dot);
      if (!at->contains(name)) at->insert(name, toml::table{});
      at = at->get(name)->as_table();
      if (!at)
        throw InputError(file + ":" + std::to_string(key.source().begin.line) + ": variant: '" +
                         std::string(key.str()) + "' passes through a value that is not a table");
    }
    value.visit([&](const auto& v) { at->insert_or_assign(rest, v); });
  }
}

Experiment read(toml::table whole, const std::string& file, const std::string& variant) {
  Experiment out;
  bool found = variant.empty();
  {
    TableReader top(whole, "", file);
    std::vector<const toml::table*> chosen;
    for (TableReader& v : top.tables("variant")) {
      const std::string name = v.string("name", "");
      if (name.empty()) v.fail("name", "is missing");
      out.variants.push_back(name);
      const toml::table& set = v.raw_table("set");
      v.reject_unknown_keys();
      if (name != variant) continue;
      found = true;
      chosen.push_back(&set);
    }
    if (!found) throw InputError(file + ":1: variant: there is no variant '" + variant + "'");
    const std::vector<toml::table> copies = [&] {
      std::vector<toml::table> c;
      for (const toml::table* t : chosen) c.push_back(*t);
      return c;
    }();
    for (const toml::table& t : copies) apply_variant(whole, t, file);
  }
  TableReader top(whole, "", file);
  top.tables("variant");
  out.name = top.string("name", "");
  if (out.name.empty()) top.fail("name", "is missing");
  out.about = top.string("about", "");
  out.duration = top.duration("lasts", 60s, 1s);
  out.measures = top.strings("measures", {"service", "refused", "moved", "up_p99_ms"});
  for (const std::string& m : out.measures) {
    if (std::find(figure_names().begin(), figure_names().end(), m) == figure_names().end())
      top.fail("measures", "there is no figure '" + m + "'");
  }
  out.fleet = fleet_of(top.table("fleet"));
  out.link = link_model_of(top.table("link"), out.fleet.zones);
  out.cold = cold_of(top.table("cold"));
  out.host = host_of(top.table("host"));
  out.list = list_of(top.table("list"));
  out.front = front_of(top.table("front"));
  out.traffic = traffic_of(top.table("traffic"), top.tables("listener"));
  out.node = node_of(top.table("node"));
  for (TableReader& f : top.tables("fault")) {
    out.faults.push_back(fault_of(f, out.fleet, static_cast<unsigned>(out.faults.size())));
  }
  top.reject_unknown_keys();
  return out;
}

}  // namespace

Experiment Experiment::from_file(const std::string& path, const std::string& variant) {
  try {
    return read(toml::parse_file(path), path, variant);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    throw InputError(path + ":" + std::to_string(std::max<unsigned>(line, 1)) +
                     ": file: " + std::string(e.description()));
  }
}

Experiment Experiment::from_text(const std::string& text, const std::string& name,
                                 const std::string& variant) {
  try {
    return read(toml::parse(text, name), name, variant);
  } catch (const toml::parse_error& e) {
    throw InputError(name + ":" + std::to_string(e.source().begin.line) +
                     ": file: " + std::string(e.description()));
  }
}

const std::vector<FaultKind>& fault_kinds() {
  static const std::vector<FaultKind> kinds{
      {"host-dies", "host", false, "its process is killed; it starts again cold when the fault is over"},
      {"host-hangs", "host", false, "it answers nothing, and takes connections"},
      {"host-half-dead", "host", false, "it accepts sessions and then serves none of their lines"},
      {"host-errs", "host", false, "it answers a share `size` of first lines with an error"},
      {"host-slow", "host", false, "its cores do a share `size` of their work"},
      {"host-resets", "host", false, "it breaks off a share `size` of the connections that come"},
      {"host-lost", "host", true, "its machine says nothing more, and is restarted when the fault is over"},
      {"host-flaps", "host", false, "it hangs and recovers by turns of `size` seconds"},
      {"hosts-deploy", "host", false, "they drain, end, and start again cold, one after the other"},
      {"node-killed", "node", false, "it is killed, and started again when the fault is over"},
      {"node-restarts", "node", false, "they are told to leave, one after the other, and started again"},
      {"node-lost", "node", true, "its machine says nothing more, and is restarted when the fault is over"},
      {"node-lossy", "node", true, "a share `size` of what goes between it and every other host gets lost"},
      {"node-slow", "node", true, "what goes between it and every other host takes `size` seconds longer"},
      {"node-reload", "node", false, "it reads its configuration again"},
      {"zone-cut", "zone", true, "nothing passes between it and the other zones, either way"},
      {"zone-deaf", "zone", true, "nothing from the other zones reaches it; what it sends arrives"},
      {"zone-mute", "zone", true, "nothing that it sends reaches the other zones"},
      {"zone-lossy", "zone", true,
       "a share `size` of what goes between its nodes or hosts and others gets lost"},
      {"zone-slow", "zone", true,
       "what goes between its nodes or hosts and others takes `size` seconds longer"},
      {"clients-drop", "client", false, "a share `share` of the clients drops at once and comes again"},
      {"clients-burst", "client", false, "a share `share` of the resting clients comes at once"},
      {"list-down", "list", false, "discovery takes no calls"},
      {"list-slow", "list", false, "it answers `size` seconds later"},
      {"list-turns-away", "list", false,
       "it holds each call for `size` seconds and answers 503; watches end"},
      {"list-stale", "list", false, "it goes on telling what it knew when the fault began"},
      {"list-malformed", "list", false, "its answers are cut off or nonsense"},
      {"list-shrinks", "list", false,
       "it calls a share `size` of the running hosts gone, then names them again"},
      {"list-moves", "list", false, "it moves to another address for good; nodes get a reload"},
  };
  return kinds;
}

}  // namespace flintweir::lab

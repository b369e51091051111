#include "lab/faults/plan.h"

#include <algorithm>

#include "lab/faults/fields.h"
#include "lab/reports/meter.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

Effect effect_of(const std::string& name) {
  return name == "once-only"    ? Effect::once_only
         : name == "referenced" ? Effect::referenced
                                : Effect::repeatable;
}

DedupScope reach_of(const std::string& name) {
  return name == "zone" ? DedupScope::zone : name == "cell" ? DedupScope::cell : DedupScope::all;
}

void pair_of(Fields& f, std::string_view key, Micros (&out)[2], Micros least, Micros most) {
  const auto both = f.times(key, {least, most}, 2);
  if (both[0] > both[1]) f.bad(key, "has its larger time first");
  out[0] = both[0];
  out[1] = both[1];
}

FleetPlan fleet_of(Fields f) {
  FleetPlan out;
  out.zones = f.words("zones", {"east", "west"});
  if (out.zones.empty()) f.bad("zones", "is empty");
  out.nodes = f.count("nodes", 3, 1, 1000);
  out.hosts = f.count("hosts", 12, 1, 5000);
  double all = 0;
  for (Fields& k : f.tables("kind")) {
    out.kinds.push_back(
        {k.number("share", 1, 0, 1), k.number("cores", 2, 0.1, 256), k.number("speed", 1, 0.01, 100)});
    all += out.kinds.back().share;
    k.done();
  }
  if (out.kinds.empty()) out.kinds.push_back({1, 2, 1});
  if (f.has("kind") && all <= 0) f.bad("kind", "has no share over zero");
  f.done();
  return out;
}

Carriage carriage_of(Fields f, const std::vector<std::string>& zones) {
  Carriage out;
  out.within_zone = f.time("within", 250us);
  out.across = f.time("across", 4ms);
  out.jitter = f.number("jitter", 0.2, 0, 10);
  out.window = f.count("window", 64u << 10, 256, 1u << 30);
  out.partial = f.number("partial", 0, 0, 1);
  for (Fields& p : f.tables("pair")) {
    std::vector<ZoneNo> both;
    for (const std::string& name : p.words("between", {})) {
      const auto found = std::find(zones.begin(), zones.end(), name);
      if (found == zones.end()) p.bad("between", "there is no zone '" + name + "'");
      both.push_back({static_cast<std::uint32_t>(found - zones.begin())});
    }
    if (both.size() != 2 || both[0] == both[1]) p.bad("between", "does not name two zones");
    out.pairs.push_back({both[0], both[1], p.time("one_way", out.across)});
    p.done();
  }
  f.done();
  return out;
}

ColdPlan cold_of(Fields f) {
  const ColdPlan out{f.number("share", 0.3, 0.01, 1), f.time("warm_within", 8s),
                     f.number("multiple", 3, 1, 100), f.time("tip_after", 1500ms, 1ms)};
  f.done();
  return out;
}

HostPlan host_of(Fields f) {
  HostPlan out;
  pair_of(f, "answers", out.answers, 4ms, 20ms);
  out.serves = f.time("serves", 3ms);
  out.refresh = f.time("refresh", 500ms, 10ms);
  out.connections = f.count("connections", 400, 1, 100000);
  out.group_cost = f.number("group_cost", 0, 0, 100);
  const std::string away = f.word("sends_away", "bit by bit", {"at once", "bit by bit", "keeps"});
  out.sends_away = away == "at once" ? SendsAway::at_once
                   : away == "keeps" ? SendsAway::keeps
                                     : SendsAway::bit_by_bit;
  out.leaves_after = f.time("leaves_after", 6s);
  out.grace = f.time("grace", 300ms);
  f.done();
  return out;
}

ListPlan list_of(Fields f) {
  ListPlan out;
  pair_of(f, "late", out.late, 500ms, 2s);
  out.ask_every = f.time("ask_every", 10s, 100ms);
  out.only_draining_binds = f.yes("only_draining_binds", false);
  f.done();
  return out;
}

FrontPlan front_of(Fields f) {
  FrontPlan out;
  out.check_every = f.time("check_every", 500ms, 10ms);
  pair_of(f, "notices", out.notices, 1s, 2500ms);
  f.done();
  return out;
}

ListenerPlan listener_of(Fields& f) {
  ListenerPlan out;
  out.name = f.word("name", "");
  if (out.name.empty() || out.name.find_first_of(" ,=\"") != out.name.npos)
    f.bad("name", "is missing or no word");
  out.share = f.number("share", 1, 0, 1e6);
  out.rules.handshake_target = f.time("handshake_target", 500ms, 1ms);
  out.rules.dial_timeout = f.time("dial_timeout", 2s, 1ms);
  if (out.rules.dial_timeout < out.rules.handshake_target)
    f.bad("dial_timeout", "is under the handshake target");
  out.rules.effect = effect_of(f.word("effect", "repeatable", {"repeatable", "referenced", "once-only"}));
  out.rules.dedup_scope = reach_of(f.word("reach", "all", {"all", "zone", "cell"}));
  out.rules.dedup_window = f.time("memory", 2s);
  out.rules.utility = f.number("utility", 1, 0, 1e6);
  out.load = f.number("load", 1, 0.001, 1000);
  out.life = f.number("life", 1, 0.001, 1000);
  out.rules.message_target = f.time("message_target", 150ms);
  f.done();
  return out;
}

TrafficPlan traffic_of(Fields f, std::vector<Fields> listeners) {
  TrafficPlan out;
  out.clients = f.count("clients", 200, 0, 100000);
  out.pause = f.time("pause", 6s, 1ms);
  out.life = f.time("life", 20s, 10ms);
  out.load = f.number("load", 60000, 1, 1e9);
  out.drift = f.number("drift", 0.1, 0, 10);
  out.speaks_every = f.time("speaks_every", 2s, 1ms);
  out.line[0] = f.count("line_least", 24, 24, 4000);
  out.line[1] = f.count("line_most", 400, 24, 4000);
  if (out.line[0] > out.line[1]) f.bad("line_most", "is under line_least");
  out.groups = f.count("groups", 0, 0, 100000);
  out.retries = f.count("retries", 2, 0, 100);
  out.retry_after = f.time("retry_after", 200ms);
  pair_of(f, "returns", out.returns, 100ms, 800ms);
  out.honours = f.number("honours", 1, 0, 1);
  out.leaves = f.number("leaves", 0, 0, 1);
  out.rude = f.count("rude", 0, 0, 1000);
  f.done();
  double all = 0;
  for (Fields& l : listeners) {
    out.listeners.push_back(listener_of(l));
    all += out.listeners.back().share;
  }
  if (out.listeners.empty())
    out.listeners.push_back(
        {"chat", 1, {500ms, 2s, Effect::repeatable, DedupScope::all, 2s, 1, 150ms}, 1, 1});
  else if (all <= 0)
    listeners.back().bad("share", "no listener has a share over zero");
  return out;
}

NodePlan node_of(Fields f) {
  NodePlan out;
  out.sockets = f.count("sockets", 1024, 64, 1000000);
  out.memory_mb = f.count("memory_mb", 192, 8, 1000000);
  out.most_dials = f.count("most_dials", 6, 1, 6);
  out.connect_timeout = f.time("connect_timeout", 120ms, 1ms);
  out.longest_stay_away = f.time("longest_stay_away", 1500ms);
  out.probes = f.yes("probes", true);
  out.probe_price = f.number("probe_price", 0.002, 0, 1000);
  out.crossing_price = f.number("crossing_price", 0.05, 0, 1000);
  out.balancer = f.word("balancer", "module", {"module", "random", "round-robin", "least-connections"});
  out.count_told = f.number("count_told", 1, 0.001, 1000);
  out.fleet = f.yes("fleet", false);
  f.done();
  return out;
}

FaultPlan fault_of(Fields& f, const FleetPlan& fleet, unsigned line) {
  FaultPlan out;
  std::vector<std::string> kinds;
  for (const FaultKind& k : fault_kinds()) kinds.emplace_back(k.name);
  out.kind = f.word("kind", "", kinds);
  if (out.kind.empty()) f.bad("kind", "is missing");
  if (f.has("at")) out.at = f.time("at", 0us);
  if (f.has("every")) out.every = f.time("every", 0us, 1ms);
  if (out.at.has_value() == out.every.has_value()) f.bad("at", "needs either 'at' or 'every', and not both");
  out.lasts = f.time("lasts", 5s, 1ms);
  out.share = f.number("share", 0, 0, 1);
  out.size = f.number("size", 0.5, 0, 1000);
  out.where = f.word("where", "");
  out.line = line;
  if (!out.where.empty()) {
    const std::string_view befalls =
        std::find_if(fault_kinds().begin(), fault_kinds().end(), [&](const auto& k) {
          return k.name == out.kind;
        })->befalls;
    bool there = false;
    if (befalls == "zone" || befalls == "host")
      there = std::find(fleet.zones.begin(), fleet.zones.end(), out.where) != fleet.zones.end();
    const auto among = [&](const char* prefix, unsigned count) {
      for (unsigned i = 0; i < count; ++i) there = there || out.where == prefix + std::to_string(i);
    };
    if (befalls == "host") among("s-", fleet.hosts);
    if (befalls == "node") among("n", fleet.nodes);
    if (!there)
      f.bad("where", "there is no " + std::string(befalls) + (befalls == "host" ? " or zone '" : " '") +
                         out.where + "'");
  }
  f.done();
  return out;
}

// Puts a variant's values where the file's are; its keys are paths with dots.
void change(toml::table& whole, const toml::table& values, const std::string& file) {
  for (const auto& [key, value] : values) {
    toml::table* at = &whole;
    std::string_view rest = key.str();
    for (std::size_t dot; (dot = rest.find('.')) != rest.npos; rest.remove_prefix(dot + 1)) {
      const std::string_view name = rest.substr(0, dot);
      if (!at->contains(name)) at->insert(name, toml::table{});
      at = at->get(name)->as_table();
      if (!at)
        throw BadFile(file + ":" + std::to_string(key.source().begin.line) + ": variant: '" +
                      std::string(key.str()) + "' goes through what is no table");
    }
    value.visit([&](const auto& v) { at->insert_or_assign(rest, v); });
  }
}

Experiment read(toml::table whole, const std::string& file, const std::string& variant) {
  Experiment out;
  bool found = variant.empty();
  {
    Fields top(whole, "", file);
    std::vector<const toml::table*> chosen;
    for (Fields& v : top.tables("variant")) {
      const std::string name = v.word("name", "");
      if (name.empty()) v.bad("name", "is missing");
      out.variants.push_back(name);
      const toml::table& set = v.raw("set");
      v.done();
      if (name != variant) continue;
      found = true;
      chosen.push_back(&set);
    }
    if (!found) throw BadFile(file + ":1: variant: there is no variant '" + variant + "'");
    const std::vector<toml::table> copies = [&] {
      std::vector<toml::table> c;
      for (const toml::table* t : chosen) c.push_back(*t);
      return c;
    }();
    for (const toml::table& t : copies) change(whole, t, file);
  }
  Fields top(whole, "", file);
  top.tables("variant");
  out.name = top.word("name", "");
  if (out.name.empty()) top.bad("name", "is missing");
  out.about = top.word("about", "");
  out.lasts = top.time("lasts", 60s, 1s);
  out.measures = top.words("measures", {"service", "refused", "moved", "up_p99_ms"});
  for (const std::string& m : out.measures) {
    if (std::find(figure_names().begin(), figure_names().end(), m) == figure_names().end())
      top.bad("measures", "there is no figure '" + m + "'");
  }
  out.fleet = fleet_of(top.table("fleet"));
  out.carriage = carriage_of(top.table("link"), out.fleet.zones);
  out.cold = cold_of(top.table("cold"));
  out.host = host_of(top.table("host"));
  out.list = list_of(top.table("list"));
  out.front = front_of(top.table("front"));
  out.traffic = traffic_of(top.table("traffic"), top.tables("listener"));
  out.node = node_of(top.table("node"));
  for (Fields& f : top.tables("fault")) {
    out.faults.push_back(fault_of(f, out.fleet, static_cast<unsigned>(out.faults.size())));
  }
  top.done();
  return out;
}

}  // namespace

Experiment Experiment::of_file(const std::string& path, const std::string& variant) {
  try {
    return read(toml::parse_file(path), path, variant);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    throw BadFile(path + ":" + std::to_string(std::max<unsigned>(line, 1)) +
                  ": file: " + std::string(e.description()));
  }
}

Experiment Experiment::of_text(const std::string& text, const std::string& name, const std::string& variant) {
  try {
    return read(toml::parse(text, name), name, variant);
  } catch (const toml::parse_error& e) {
    throw BadFile(name + ":" + std::to_string(e.source().begin.line) +
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

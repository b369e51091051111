#include "lab/fleet/membership_plan.h"

#include <algorithm>

#include "lab/faults/table_reader.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

const std::vector<FleetFaultKind>& fleet_fault_kinds() {
  static const std::vector<FleetFaultKind> kinds = {
      {"crash", false, "a share of the nodes is killed within 100 ms and stays away"},
      {"crash-back", false, "a share is killed and starts again under the same names after 'lasts'"},
      {"moved", false, "a share is killed and starts again at other addresses after 'lasts'"},
      {"leave", false, "a share gets SIGTERM, one after the other"},
      {"pause", false, "a share is stopped for 'lasts' and goes on as if nothing had been"},
      {"busy", false, "a share gets one part in five of its processor for 'lasts'"},
      {"cut", false,
       "'parts' parts don't hear each other for 'lasts'; 'one_way': only one way, 'share': the first part's"},
      {"cut-flaps", false, "a cut in two that opens and closes each 'longer' for 'lasts'"},
      {"cut-moved", false, "a cut in two; every node of one half is started again elsewhere before it heals"},
      {"deaf", false, "a share loses 'size' of what comes in for 'lasts'"},
      {"loss", false, "everybody loses 'size' of all datagrams for 'lasts'"},
      {"slow", false, "what comes to a share is 'longer' late for 'lasts'"},
      {"fails-returns", false, "one node is killed and started again each 'longer' for 'lasts'"},
      {"mangled", false,
       "'size' of all datagrams are doubled, spoilt, overtaken or come again 10 s later for 'lasts'"},
      {"rubbish", false, "one node gets 'size' bad datagrams a second for 'lasts'"},
      {"same-name", false, "a second process of one's name runs at another address for 'lasts'"},
      {"join", false, "one node more, that nobody knows yet"},
      {"reload", false, "a share gets a file with other seeds, and SIGHUP"},
      {"clock-back", true, "a share is started again with its wall clock an hour back"}};
  return kinds;
}

bool MembershipPlan::is_membership_experiment(const std::string& path) {
  try {
    return toml::parse_file(path)["kind"].value_or(std::string()) == "fleet";
  } catch (const toml::parse_error&) {
    return false;  // the syntax error is reported when the file is loaded
  }
}

namespace {

// Reads the keys that both the experiment and its variants may set.
void read_scale(TableReader& f, MembershipPlan& plan) {
  plan.nodes = f.count("nodes", plan.nodes, 1, 2000);
  plan.fault_count = f.count("at_once", plan.fault_count, 0, 16);
  plan.join_time = f.duration("starts", plan.join_time, 100ms);
  plan.fault_window = f.duration("quiet", plan.fault_window);
  plan.convergence_limit = f.duration("settles", plan.convergence_limit, 1s);
}

MembershipPlan read_plan(const toml::table& root, const std::string& path, const std::string& variant) {
  MembershipPlan out;
  TableReader top(root, "", path);
  top.string("kind", "fleet", {"fleet"});
  out.name = top.string("name", "");
  if (out.name.empty()) top.fail("name", "is missing");
  out.about = top.string("about", "");
  out.seed_nodes = top.count("seeds", 2, 1, 16);
  out.probe_interval = top.duration("interval", 300ms, 50ms);
  out.forget_after = top.duration("forgets", 60min, 1min);
  read_scale(top, out);
  MembershipPlan selected = out;
  bool found = variant.empty();
  for (TableReader& v : top.tables("variant")) {
    const std::string name = v.string("name", "");
    out.variants.push_back(name);
    const bool matches = name == variant;
    found = found || matches;
    MembershipPlan varied = out;
    read_scale(v, varied);
    v.reject_unknown_keys();
    if (matches) selected = varied;
  }
  if (!found) throw InputError(path + ":1: variant: there is no variant '" + variant + "'");
  selected.variants = out.variants;
  out = selected;
  std::vector<std::string> kinds;
  for (const FleetFaultKind& k : fleet_fault_kinds()) kinds.emplace_back(k.name);
  for (TableReader& f : top.tables("trouble")) {
    FleetFault fault;
    fault.kind = f.string("kind", "", kinds);
    if (fault.kind.empty()) f.fail("kind", "is missing");
    fault.name = f.string("name", fault.kind);
    fault.share = f.number("share", 0, 0, 1);
    fault.magnitude = f.number("size", 0, 0, 100000);
    fault.duration = f.duration("lasts", 3s);
    fault.period_or_delay = f.duration("longer", 0us);
    fault.partitions = f.count("parts", 2, 2, 8);
    fault.one_way = f.boolean("one_way", false);
    f.reject_unknown_keys();
    out.faults.push_back(fault);
  }
  top.reject_unknown_keys();
  return out;
}

}  // namespace

MembershipPlan MembershipPlan::from_file(const std::string& path, const std::string& variant) {
  try {
    return read_plan(toml::parse_file(path), path, variant);
  } catch (const toml::parse_error& e) {
    throw InputError(path + ":" + std::to_string(std::max<unsigned>(e.source().begin.line, 1)) +
                     ": file: " + std::string(e.description()));
  }
}

}  // namespace flintweir::lab

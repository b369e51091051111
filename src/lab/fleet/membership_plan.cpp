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
    return false;  // whoever reads it complains
  }
}

namespace {

// What a variant may set as well.
void scale(TableReader& f, MembershipPlan& plan) {
  plan.nodes = f.count("nodes", plan.nodes, 1, 2000);
  plan.at_once = f.count("at_once", plan.at_once, 0, 16);
  plan.starts = f.duration("starts", plan.starts, 100ms);
  plan.quiet = f.duration("quiet", plan.quiet);
  plan.settles = f.duration("settles", plan.settles, 1s);
}

MembershipPlan read(const toml::table& whole, const std::string& path, const std::string& variant) {
  MembershipPlan out;
  TableReader top(whole, "", path);
  top.string("kind", "fleet", {"fleet"});
  out.name = top.string("name", "");
  if (out.name.empty()) top.fail("name", "is missing");
  out.about = top.string("about", "");
  out.seeds = top.count("seeds", 2, 1, 16);
  out.interval = top.duration("interval", 300ms, 50ms);
  out.forgets = top.duration("forgets", 60min, 1min);
  scale(top, out);
  MembershipPlan changed = out;
  bool found = variant.empty();
  for (TableReader& v : top.tables("variant")) {
    const std::string name = v.string("name", "");
    out.variants.push_back(name);
    const bool chosen = name == variant;
    found = found || chosen;
    MembershipPlan with = out;
    scale(v, with);
    v.reject_unknown_keys();
    if (chosen) changed = with;
  }
  if (!found) throw InputError(path + ":1: variant: there is no variant '" + variant + "'");
  changed.variants = out.variants;
  out = changed;
  std::vector<std::string> kinds;
  for (const FleetFaultKind& k : fleet_fault_kinds()) kinds.emplace_back(k.name);
  for (TableReader& f : top.tables("trouble")) {
    FleetFault t;
    t.kind = f.string("kind", "", kinds);
    if (t.kind.empty()) f.fail("kind", "is missing");
    t.name = f.string("name", t.kind);
    t.share = f.number("share", 0, 0, 1);
    t.size = f.number("size", 0, 0, 100000);
    t.lasts = f.duration("lasts", 3s);
    t.longer = f.duration("longer", 0us);
    t.parts = f.count("parts", 2, 2, 8);
    t.one_way = f.boolean("one_way", false);
    f.reject_unknown_keys();
    out.faults.push_back(t);
  }
  top.reject_unknown_keys();
  return out;
}

}  // namespace

MembershipPlan MembershipPlan::from_file(const std::string& path, const std::string& variant) {
  try {
    return read(toml::parse_file(path), path, variant);
  } catch (const toml::parse_error& e) {
    throw InputError(path + ":" + std::to_string(std::max<unsigned>(e.source().begin.line, 1)) +
                     ": file: " + std::string(e.description()));
  }
}

}  // namespace flintweir::lab

#include "lab/faults/faults.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

#include "numbers.h"

namespace flintweir::lab {
namespace {

std::string target_kind(const std::string& kind) {
  for (const FaultKind& k : fault_kinds())
    if (kind == k.name) return k.target_kind;
  return "";
}

std::string name_of(const std::string& what, std::uint32_t no, const FleetPlan& fleet) {
  if (what == "host") return std::string("s-").append(std::to_string(no));
  if (what == "node") return std::string("n").append(std::to_string(no));
  if (what == "zone") return fleet.zones[no];
  return "";
}

}  // namespace

std::string to_text(const Fault& f, const FleetPlan& fleet) {
  const std::string who = name_of(target_kind(f.kind), f.target, fleet);
  char text[160];
  std::snprintf(text, sizeof text, "%.3f s: %s%s%s for %.3f s", seconds(f.at), f.kind.c_str(),
                who.empty() ? "" : " ", who.c_str(), seconds(f.duration));
  return text;
}

std::vector<Fault> draw_faults(const std::vector<FaultPlan>& plans, const FleetPlan& fleet, Micros lasts,
                               std::uint64_t seed) {
  std::vector<Fault> out;
  for (const FaultPlan& p : plans) {
    // Each line of the file has chance of its own, so that one more changes nothing about the others.
    std::knuth_b chance(static_cast<std::knuth_b::result_type>(derive_seed(seed, 8, p.index) | 1));
    const auto uniform = [&] { return std::generate_canonical<double, 32>(chance); };
    const std::string what = target_kind(p.kind);
    std::uint32_t count = 1;
    if (what == "host") count = fleet.hosts;
    if (what == "node") count = fleet.nodes;
    if (what == "zone") count = static_cast<std::uint32_t>(fleet.zones.size());
    std::vector<std::uint32_t> all;
    for (std::uint32_t i = 0; i < count; ++i)
      if (p.target_name.empty() || name_of(what, i, fleet) == p.target_name ||
          (what == "host" && fleet.zones[fleet.zone_of_host(i)] == p.target_name))
        all.push_back(i);
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[chance() % i]);
    if (p.at) {
      const bool some = what == "host" || what == "node" || what == "zone";
      const auto wanted =
          some ? static_cast<std::size_t>(std::lround(p.share * static_cast<double>(count))) : 1;
      all.resize(std::min(all.size(), std::max<std::size_t>(wanted, 1)));
      const bool in_turn = p.kind == "hosts-deploy" || p.kind == "node-restarts";
      for (std::size_t i = 0; i < all.size(); ++i) {
        const Micros later =
            in_turn ? p.duration * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(all.size())
                    : Micros{0};
        out.push_back({*p.at + later, p.kind, all[i], p.duration, p.share, p.magnitude});
      }
      continue;
    }
    std::sort(all.begin(), all.end());
    for (const std::uint32_t target : all) {
      for (double at = 0;;) {
        at += -std::log(1 - uniform()) * seconds(*p.every);
        if (at >= seconds(lasts)) break;
        const double length = 0.5 + uniform();
        out.push_back({Micros{static_cast<std::int64_t>(at * 1e6)}, p.kind, target,
                       Micros{static_cast<std::int64_t>(static_cast<double>(p.duration.count()) * length)},
                       p.share, p.magnitude});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return out;
}

}  // namespace flintweir::lab

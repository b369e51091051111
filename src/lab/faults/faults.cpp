#include "lab/faults/faults.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

#include "numbers.h"

namespace flintweir::lab {
namespace {

std::string target_kind_of(const std::string& fault_kind) {
  for (const FaultKind& k : fault_kinds())
    if (fault_kind == k.name) return k.target_kind;
  return "";
}

std::string target_name(const std::string& kind, std::uint32_t number, const FleetPlan& fleet) {
  if (kind == "host") return std::string("s-").append(std::to_string(number));
  if (kind == "node") return std::string("n").append(std::to_string(number));
  if (kind == "zone") return fleet.zones[number];
  return "";
}

}  // namespace

std::string to_text(const Fault& f, const FleetPlan& fleet) {
  const std::string target = target_name(target_kind_of(f.kind), f.target, fleet);
  char text[160];
  std::snprintf(text, sizeof text, "%.3f s: %s%s%s for %.3f s", seconds(f.at), f.kind.c_str(),
                target.empty() ? "" : " ", target.c_str(), seconds(f.duration));
  return text;
}

std::vector<Fault> draw_faults(const std::vector<FaultPlan>& plans, const FleetPlan& fleet,
                               Micros run_duration, std::uint64_t seed) {
  std::vector<Fault> out;
  for (const FaultPlan& p : plans) {
    // Each fault of the file has its own random generator, so that adding one does not change the others.
    std::knuth_b rng(static_cast<std::knuth_b::result_type>(derive_seed(seed, 8, p.index) | 1));
    const auto uniform = [&] { return std::generate_canonical<double, 32>(rng); };
    const std::string kind = target_kind_of(p.kind);
    std::uint32_t count = 1;
    if (kind == "host") count = fleet.hosts;
    if (kind == "node") count = fleet.nodes;
    if (kind == "zone") count = static_cast<std::uint32_t>(fleet.zones.size());
    std::vector<std::uint32_t> targets;
    for (std::uint32_t i = 0; i < count; ++i)
      if (p.target_name.empty() || target_name(kind, i, fleet) == p.target_name ||
          (kind == "host" && fleet.zones[fleet.zone_of_host(i)] == p.target_name))
        targets.push_back(i);
    for (std::size_t i = targets.size(); i > 1; --i) std::swap(targets[i - 1], targets[rng() % i]);
    if (p.at) {
      const bool has_target = kind == "host" || kind == "node" || kind == "zone";
      const auto wanted =
          has_target ? static_cast<std::size_t>(std::lround(p.share * static_cast<double>(count))) : 1;
      targets.resize(std::min(targets.size(), std::max<std::size_t>(wanted, 1)));
      const bool staggered = p.kind == "hosts-deploy" || p.kind == "node-restarts";
      for (std::size_t i = 0; i < targets.size(); ++i) {
        const Micros delay =
            staggered ? p.duration * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(targets.size())
                      : Micros{0};
        out.push_back({*p.at + delay, p.kind, targets[i], p.duration, p.share, p.magnitude});
      }
      continue;
    }
    std::sort(targets.begin(), targets.end());
    for (const std::uint32_t target : targets) {
      for (double at = 0;;) {
        at += -std::log(1 - uniform()) * seconds(*p.every);
        if (at >= seconds(run_duration)) break;
        const double factor = 0.5 + uniform();
        out.push_back({Micros{static_cast<std::int64_t>(at * 1e6)}, p.kind, target,
                       Micros{static_cast<std::int64_t>(static_cast<double>(p.duration.count()) * factor)},
                       p.share, p.magnitude});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return out;
}

}  // namespace flintweir::lab

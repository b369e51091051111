// The faults of one run, drawn from its seed: what breaks, when and for how long. A run is the same whatever
// part of them is left out, so that a failing one can be made smaller.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "lab/plan.h"

namespace flintweir::lab {

struct Fault {
  Micros at;  // from the start
  std::string kind;
  std::uint32_t target;  // a host, node or zone; else zero
  Micros lasts;
  double share, size;
};

std::string to_text(const Fault& fault, const FleetPlan& fleet);
// In the order of their times.
std::vector<Fault> draw_faults(const std::vector<FaultPlan>& plans, const FleetPlan& fleet, Micros lasts,
                               std::uint64_t seed);

}  // namespace flintweir::lab

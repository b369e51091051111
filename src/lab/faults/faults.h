// The faults of one run, drawn from its seed: what breaks, when and for how long. A run is the same whatever
// part of them is left out, so that a failing one can be made smaller.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "lab/faults/plan.h"
#include "numbers.h"

namespace flintweir::lab {

struct Fault {
  Micros at;  // from the start
  std::string kind;
  std::uint32_t target;  // a host, node or zone; else zero
  Micros duration;
  double share, magnitude;
};

// The seed of one part of a run, such as its nth client. Neighbouring seeds of runs share none of them: with
// sums of both, a run would have all but one of its clients from the run before.
inline std::uint64_t derive_seed(std::uint64_t seed, std::uint64_t part, std::uint64_t n = 0) {
  return mix(mix(mix(seed + 0x9e3779b97f4a7c15ull) + part * 0xd1342543de82ef95ull) + n + 1);
}

std::string to_text(const Fault& fault, const FleetPlan& fleet);
// In the order of their times.
std::vector<Fault> draw_faults(const std::vector<FaultPlan>& plans, const FleetPlan& fleet, Micros lasts,
                               std::uint64_t seed);

}  // namespace flintweir::lab

// The faults of one run, drawn from its seed: kind, target, time and duration. Leaving out some of them does
// not change what else is random in the run, so that a failing run can be reduced to the faults that matter.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "lab/faults/plan.h"
#include "numbers.h"

namespace flintweir::lab {

struct Fault {
  Micros at;  // since the start of the run
  std::string kind;
  std::uint32_t target;  // number of the host, node or zone; zero for other kinds
  Micros duration;
  double share, magnitude;
};

// Derives the seed of the `n`th item of one part of a run, such as its nth client. The values are hashed
// rather than added: with sums, a run would share all but one of its clients' seeds with the run of the next
// seed.
inline std::uint64_t derive_seed(std::uint64_t seed, std::uint64_t part, std::uint64_t n = 0) {
  return mix(mix(mix(seed + 0x9e3779b97f4a7c15ull) + part * 0xd1342543de82ef95ull) + n + 1);
}

// The fault's time, kind, target and duration, as event log, report and fault list show it.
std::string to_text(const Fault& fault, const FleetPlan& fleet);
// Draws the faults of a run of length `run_duration`, in the order of their times.
std::vector<Fault> draw_faults(const std::vector<FaultPlan>& plans, const FleetPlan& fleet,
                               Micros run_duration, std::uint64_t seed);

}  // namespace flintweir::lab

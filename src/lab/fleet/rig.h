// One run of an experiment on the fleet's own view: troubles by the seed, everybody asked for his view all
// the while, and the checker's verdict.
#pragma once

#include <optional>

#include "lab/fleet/plain_peers.h"
#include "lab/fleet/rig_checker.h"
#include "lab/fleet/rig_plan.h"
#include "lab/fleet/rig_stage.h"

namespace flintweir::lab {

struct RigOutcome {
  std::vector<RigBroken> broken;  // times from the start
  std::vector<std::string> troubles;
  // Milliseconds; nothing where it did not come about.
  std::optional<double> joined;     // from the first start until all hold one view
  std::vector<double> crash_known;  // from a crash until no running node lists who crashed
  std::vector<double> join_known;   // from a start until all running ones list who started
  std::size_t called_failed = 0;    // processes, by any, while they ran
  std::optional<double> settled;    // from the last trouble's end until all hold one view for good
  double bytes_at_rest = 0;         // sent by a node and second, from when it joined to the first trouble
  std::uint64_t looks = 0;
  double lasted = 0;  // seconds
};

// `only`: the troubles drawn are of that kind.
RigOutcome play_rig(const RigPlan& plan, RigStage& stage, std::uint64_t seed, const std::string& only = "");

RigOutcome run_rig_virtual(const RigPlan& plan, std::uint64_t seed, const std::string& only = "",
                           std::string* logged = nullptr, std::optional<PlainWay> plain = {});
// Without the troubles that need virtual time.
RigOutcome run_rig_real(const RigPlan& plan, std::uint64_t seed, const std::string& only,
                        const std::vector<std::string>& program, const std::string& folder);

}  // namespace flintweir::lab

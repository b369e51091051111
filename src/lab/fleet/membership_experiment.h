// One run of an experiment on the fleet's own view: troubles by the seed, everybody asked for his view all
// the while, and the checker's verdict.
#pragma once

#include <optional>

#include "lab/fleet/baseline_membership.h"
#include "lab/fleet/fleet_harness.h"
#include "lab/fleet/membership_checker.h"
#include "lab/fleet/membership_plan.h"

namespace flintweir::lab {

struct MembershipResult {
  std::vector<MembershipViolation> violations;  // times from the start
  std::vector<std::string> faults;
  // Milliseconds; nothing where it did not come about.
  std::optional<double> converged_ms;       // from the first start until all hold one view
  std::vector<double> crash_detection_ms;   // from a crash until no running node lists who crashed
  std::vector<double> join_detection_ms;    // from a start until all running ones list who started
  std::size_t running_reported_failed = 0;  // processes, by any, while they ran
  std::optional<double> reconverged_ms;     // from the last trouble's end until all hold one view for good
  double idle_bytes_per_second = 0;  // sent by a node and second, from when it joined to the first trouble
  std::uint64_t observations = 0;
  double duration_s = 0;  // seconds
};

// `only`: the troubles drawn are of that kind.
MembershipResult run_membership_experiment(const MembershipPlan& plan, FleetHarness& harness,
                                           std::uint64_t seed, const std::string& only = "");

MembershipResult run_membership_virtual(const MembershipPlan& plan, std::uint64_t seed,
                                        const std::string& only = "", std::string* logged = nullptr,
                                        std::optional<BaselineProtocol> plain = {});
// Without the troubles that need virtual time.
MembershipResult run_membership_loopback(const MembershipPlan& plan, std::uint64_t seed,
                                         const std::string& only, const std::vector<std::string>& program,
                                         const std::string& folder);

}  // namespace flintweir::lab

// Runs one membership experiment: starts a fleet, injects faults drawn by the seed, polls the view of each
// node throughout, and checks the views against the rules of MembershipChecker.
#pragma once

#include <optional>

#include "lab/fleet/baseline_membership.h"
#include "lab/fleet/fleet_harness.h"
#include "lab/fleet/membership_checker.h"
#include "lab/fleet/membership_plan.h"

namespace flintweir::lab {

struct MembershipResult {
  std::vector<MembershipViolation> violations;  // with times from the start of the run
  std::vector<std::string> faults;              // names of the faults drawn
  // From the first start until all nodes hold the same view. Empty if that did not happen.
  std::optional<double> converged_ms;
  std::vector<double> crash_detection_ms;   // from a crash until no running node lists the crashed node
  std::vector<double> join_detection_ms;    // from a start until all running nodes list the started node
  std::size_t running_reported_failed = 0;  // processes that any node reported failed while they ran
  // From the end of the last fault until all nodes hold the same view to the end. Empty if that did not
  // happen.
  std::optional<double> reconverged_ms;
  double idle_bytes_per_second =
      0;                           // sent by each node, after the fleet has formed and before the first fault
  std::uint64_t observations = 0;  // of MembershipChecker
  double duration_s = 0;           // of the run
};

// `only`: draws one fault, of this kind or name. Throws InputError if the plan has none.
MembershipResult run_membership_experiment(const MembershipPlan& plan, FleetHarness& harness,
                                           std::uint64_t seed, const std::string& only = "");

// `log`: gets what the nodes log, unless null. `baseline`: the nodes run this protocol instead of their own.
MembershipResult run_membership_virtual(const MembershipPlan& plan, std::uint64_t seed,
                                        const std::string& only = "", std::string* log = nullptr,
                                        std::optional<BaselineProtocol> baseline = {});
// Runs `program` on loopback addresses, with logs in `folder`. Never draws the faults that need virtual time.
MembershipResult run_membership_loopback(const MembershipPlan& plan, std::uint64_t seed,
                                         const std::string& only, const std::vector<std::string>& program,
                                         const std::string& folder);

}  // namespace flintweir::lab

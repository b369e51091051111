// Runs one experiment on the distribution of configuration changes: publishes changes to a fleet under a
// fault, queries the nodes from outside, and compares their answers with what was published.
#pragma once

#include <string>
#include <vector>

#include "lab/fleet/fleet_harness.h"

namespace flintweir::lab {

struct ChangeViolation {
  std::string rule;  // back, whole, refused, late, settled, budget
  Micros at;         // from the start of the run
  std::string description;
};

struct ChangeResult {
  std::vector<ChangeViolation> violations;
  std::string fault;
  // From each publication until all running nodes that are not paused hold the change or a newer one.
  std::vector<double> propagation_ms;
  double idle_bytes_per_second = 0;        // sent by each node to other nodes, in messages of any kind
  double change_bytes_per_second = 0;      // the same, averaged over `propagation_limit` after a publication
  double max_change_bytes_per_second = 0;  // the same, of the node that sent most
  std::uint64_t observations = 0;          // answers of nodes
};

struct ChangeExperimentPlan {
  unsigned nodes = 9;
  Micros probe_interval{300'000};       // of the membership protocol
  Micros join_time{5'000'000};          // from the first start until the fleet has formed
  Micros propagation_limit{4'000'000};  // within which a change has to be in force on all nodes
  Micros fault_duration{6'000'000};
  double max_bytes_per_second = 7000;  // limit for each node, of all bytes that it sends to other nodes
};

// The kinds of faults.
const std::vector<std::string>& change_faults();
// `fault`: one of the kinds; drawn by the seed if empty. Throws InputError if there is no such kind.
ChangeResult run_change_experiment(const ChangeExperimentPlan& plan, FleetHarness& harness,
                                   std::uint64_t seed, const std::string& fault);

ChangeResult run_changes_virtual(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                 const std::string& fault = "");
// Runs each node as a process of `program`, with logs in `folder`.
ChangeResult run_changes_loopback(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                  const std::string& fault, const std::vector<std::string>& program,
                                  const std::string& folder);

}  // namespace flintweir::lab

// One run of changes of configuration through a fleet with troubles: published from outside, asked for from
// outside, judged by what was published and by what each process says it has.
#pragma once

#include <string>
#include <vector>

#include "lab/fleet/fleet_harness.h"

namespace flintweir::lab {

struct ChangeViolation {
  std::string rule;  // back, whole, refused, late, settled, budget
  Micros at;         // from the start
  std::string description;
};

struct ChangeResult {
  std::vector<ChangeViolation> violations;
  std::string fault;
  std::vector<double> propagation_ms;      // ms from a publication until all that run and are reached have it
  double idle_bytes_per_second = 0;        // sent by a node and second, all that it says to others
  double change_bytes_per_second = 0;      // the same in the four seconds after a publication, on average
  double max_change_bytes_per_second = 0;  // of the node that sent most
  std::uint64_t observations = 0;
};

struct ChangeExperimentPlan {
  unsigned nodes = 9;
  Micros interval{300'000};             // of probes between members
  Micros join_time{5'000'000};          // until the fleet is taken to know itself
  Micros propagation_limit{4'000'000};  // within which a change is in force everywhere
  Micros fault_duration{6'000'000};     // the trouble
  double max_bytes_per_second = 7000;   // that a node may send of all that nodes say to each other, a second
};

const std::vector<std::string>& change_faults();
// `trouble`: one of those; empty: drawn by the seed. Throws InputError where there is none of that name.
ChangeResult run_change_experiment(const ChangeExperimentPlan& plan, FleetHarness& harness,
                                   std::uint64_t seed, const std::string& trouble);

ChangeResult run_changes_virtual(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                 const std::string& trouble = "");
// Each node a process of the real program.
ChangeResult run_changes_loopback(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                  const std::string& trouble, const std::vector<std::string>& program,
                                  const std::string& folder);

}  // namespace flintweir::lab

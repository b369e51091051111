// One run of changes of configuration through a fleet with troubles: published from outside, asked for from
// outside, judged by what was published and by what each process says it has.
#pragma once

#include <string>
#include <vector>

#include "lab/fleet/rig_stage.h"

namespace flintweir::lab {

struct ChangeBroken {
  std::string rule;  // back, whole, refused, late, settled, budget
  Micros at;         // from the start
  std::string what;
};

struct ChangeOutcome {
  std::vector<ChangeBroken> broken;
  std::string trouble;
  std::vector<double> known;   // ms from a publication until all that run and are reached have it
  double bytes_at_rest = 0;    // sent by a node and second, all that it says to others
  double bytes_at_change = 0;  // the same in the four seconds after a publication, on average
  double most_at_change = 0;   // of the node that sent most
  std::uint64_t looks = 0;
};

struct ChangePlan {
  unsigned nodes = 9;
  Micros interval{300'000};  // of probes between members
  Micros joins{5'000'000};   // until the fleet is taken to know itself
  Micros bound{4'000'000};   // within which a change is in force everywhere
  Micros lasts{6'000'000};   // the trouble
  double most_bytes = 7000;  // that a node may send of all that nodes say to each other, a second
};

const std::vector<std::string>& change_troubles();
// `trouble`: one of those; empty: drawn by the seed. Throws InputError where there is none of that name.
ChangeOutcome play_changes(const ChangePlan& plan, RigStage& stage, std::uint64_t seed,
                           const std::string& trouble);

ChangeOutcome run_changes_virtual(const ChangePlan& plan, std::uint64_t seed,
                                  const std::string& trouble = "");
// Each node a process of the real program.
ChangeOutcome run_changes_real(const ChangePlan& plan, std::uint64_t seed, const std::string& trouble,
                               const std::vector<std::string>& program, const std::string& folder);

}  // namespace flintweir::lab

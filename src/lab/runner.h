// Runs of an experiment over many seeds, in parallel. The outcome does not depend on the number of threads.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/experiment_run.h"
#include "lab/faults/input_error.h"
#include "lab/faults/plan.h"

namespace flintweir::lab {

struct RunResult {
  std::uint64_t seed = 0;
  Outcome outcome;
  std::string node_log;
  std::string failed;       // why the run could not be completed; empty if it was
  double wall_seconds = 0;  // wall-clock duration
};

// Which logs to keep: of the run's events, and of the nodes' log lines.
struct RecordOptions {
  bool events = false, node_log = false;
};

// One run in virtual time. `only` gives the indexes of the faults to inject; without it all of them.
RunResult run_virtual(const Experiment& experiment, std::uint64_t seed, RecordOptions keep = {},
                      const std::optional<std::set<std::size_t>>& only = {});
// One run in real time against the real program, whose files go to `folder`. Throws InputError if the
// experiment needs a feature that only the simulated network has.
RunResult run_real(const Experiment& experiment, std::uint64_t seed, RecordOptions keep,
                   const std::vector<std::string>& program, const std::string& folder);

// Runs each seed from first to last on `jobs` threads. `done` is called in the order of the seeds, by one
// thread at a time, and returns false to end early. Rethrows the first exception of a run.
void run_seeds(std::uint64_t first, std::uint64_t last, unsigned jobs,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<bool(RunResult&&)>& done);

// Returns the smallest set of faults found with which the run still violates the same rule. Leaves out groups
// of faults, first halves and then smaller groups, down to single faults. `tried` is called after each round.
// Returns nothing if the full run violates no rule.
std::optional<std::set<std::size_t>> shrink(
    const Experiment& experiment, std::uint64_t seed, unsigned jobs,
    const std::function<void(std::size_t remaining, bool fails)>& tried);

}  // namespace flintweir::lab

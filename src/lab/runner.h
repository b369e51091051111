// Runs of an experiment over many seeds, in parallel, with the same outcome however many run at a time.
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
  std::string failed;       // the run itself could not be made, and why
  double wall_seconds = 0;  // seconds of this machine's time
};

struct RecordOptions {
  bool events = false, node_log = false;
};

// One run in virtual time. `only`: the faults that are left in, by their place; all of them without it.
RunResult run_virtual(const Experiment& experiment, std::uint64_t seed, RecordOptions keep = {},
                      const std::optional<std::set<std::size_t>>& only = {});
// One run in real time against a program. Throws InputError where the experiment needs what loopback has not.
RunResult run_real(const Experiment& experiment, std::uint64_t seed, RecordOptions keep,
                   const std::vector<std::string>& program, const std::string& folder);

// Each seed from first to last, so many at a time; `done` is called in the order of the seeds, by one thread
// at a time. It returns false to end early.
void run_seeds(std::uint64_t first, std::uint64_t last, unsigned jobs,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<bool(RunResult&&)>& done);

// The fewest faults found with which the run still breaks the same rule; by halves, then one by one. `tried`
// is told after each run. Nothing where the whole run breaks none.
std::optional<std::set<std::size_t>> shrink(const Experiment& experiment, std::uint64_t seed, unsigned jobs,
                                            const std::function<void(std::size_t left, bool fails)>& tried);

}  // namespace flintweir::lab

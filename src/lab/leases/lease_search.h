// Model checking of the lease protocol. An exhaustive breadth-first search runs the real candidate and voter
// code through every interleaving of events: messages delayed, duplicated, lost and reordered, voters
// restarted, candidates paused, and clocks at both ends of the permitted drift. States are identified by
// their hash. Long random walks, drawn from a seed, complement the search.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flintweir::lab {

struct LeaseSearchOptions {
  unsigned voters = 3, candidates = 2;
  bool voter_storage = false;  // voters keep their promises across restarts
  bool starts_held = false;    // the first candidate holds the lease at the start; else nothing was requested
  std::uint64_t max_states = 300'000;
  unsigned max_restarts = 0, max_duplicates = 0;  // upper bounds in one interleaving
  bool allow_release = false;                     // a holder may release the lease and acquire it again
  double time_step = 0.5;                         // true time per step, as a fraction of the lease duration
};

struct LeaseSearchResult {
  std::uint64_t states = 0;
  std::uint64_t grants = 0;
  unsigned depth = 0;                    // all interleavings of up to this many steps were explored
  double wall_seconds = 0;               // of the search
  std::optional<std::string> violation;  // rule=..., and the steps that lead to it
};

// Searches breadth-first until a rule is broken, max_states is reached or no new state is left.
LeaseSearchResult search_leases(const LeaseSearchOptions& options);
// Takes `steps` random steps for each seed, without a limit on restarts and duplicates.
LeaseSearchResult random_walk_leases(const LeaseSearchOptions& options, std::uint64_t first_seed,
                                     std::uint64_t last_seed, unsigned steps);

}  // namespace flintweir::lab

// The leases' own decision code, run through every order of what can happen to it: messages delivered late,
// twice, never and in any order, voters restarted, would-be holders that lie still, clocks at both ends of
// the rates allowed. States are told apart by hash. Beside it long walks drawn by a seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flintweir::lab {

struct LeaseSearch {
  unsigned voters = 3, seekers = 2;
  bool folders = false;  // voters keep what they promise
  bool held = false;     // begins where the first seeker holds; else where nobody has asked
  std::uint64_t most_states = 300'000;
  unsigned restarts = 0, doubles = 0;  // at most, in one order
  bool lets_go = false;                // a holder may let go and want it again
  double step = 0.5;                   // of true time, as a share of a lease's length
};

struct LeaseFound {
  std::uint64_t states = 0;
  std::uint64_t grants = 0;
  unsigned depth = 0;                 // all orders up to here were played
  double took = 0;                    // seconds
  std::optional<std::string> broken;  // rule=..., and the steps that lead there
};

LeaseFound search_leases(const LeaseSearch& what);
// `steps` of chance a walk, with as many restarts and doubles as come.
LeaseFound walk_leases(const LeaseSearch& what, std::uint64_t first, std::uint64_t last, unsigned steps);

}  // namespace flintweir::lab

// Benchmarks of the decision module alone, through its public interface, with Zipf-distributed group sizes as
// in a large deployment: the cost of a placement and of an open session by number of hosts, the number of
// hosts per group, and the sessions that a failing host moves.
#pragma once

#include <cstdint>
#include <vector>

namespace flintweir::lab {

struct ModuleScale {
  unsigned hosts = 0, sessions = 0;
  double placement_us = 0;        // mean CPU time of one placement, over the last thousand
  double memory_kib = 0;          // heap growth for all sessions
  double idle_us_per_second = 0;  // CPU time of the module's timers and probes in one second
  double hosts_per_group = 0;     // mean number of hosts that serve a group
  unsigned largest_hosts = 0;     // hosts that serve the largest group
  double max_load_ratio = 0;      // sessions on the busiest host relative to the mean
  unsigned moved = 0;             // sessions on the busiest host when it fails
};

// Measures one node of a fleet of `nodes`. Group sizes follow a Zipf distribution with exponent 0.82.
ModuleScale scale_module(unsigned hosts, unsigned sessions, unsigned groups, unsigned nodes,
                         std::uint64_t seed);

// Probes per second that one node sends at the given session rate and price of a probe, measured over 30 s
// after a warm-up of one minute.
double probes_per_second(unsigned hosts, double sessions_per_second, double price, std::uint64_t seed);

}  // namespace flintweir::lab

// The decision module alone, through its interface, with groups as long-tailed as a large deployment's: what
// a placement and a held session cost as hosts grow, how many copies of groups there are, what a host's death
// moves.
#pragma once

#include <cstdint>
#include <vector>

namespace flintweir::lab {

struct ModuleScale {
  unsigned hosts = 0, sessions = 0;
  double placement_us = 0;     // processor time, the last thousand
  double memory_kib = 0;       // of all that the module holds
  double beat_us = 0;          // processor time of what it does by itself in a second
  double copies = 0;           // hosts that hold a group, over the groups held
  unsigned largest_hosts = 0;  // hosts that hold the largest group
  double most_load = 0;        // of the host with most sessions, over the mean
  unsigned moved = 0;          // sessions of a host that dies
};

// `nodes`: of the fleet, of which this is one. Groups are Zipf's with that exponent.
ModuleScale scale_module(unsigned hosts, unsigned sessions, unsigned groups, unsigned nodes,
                         std::uint64_t seed);

// Probes a second that a node sends which takes so many sessions a second, at that price of one, after a
// minute.
double probes_a_second(unsigned hosts, double sessions_a_second, double price, std::uint64_t seed);

}  // namespace flintweir::lab

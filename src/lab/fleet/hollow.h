// A fleet of hollow nodes: the real view and the real carrying of changes on real datagrams over loopback, no
// clients, many to a process, and some whole processes of the real program among them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct HollowPlan {
  unsigned members = 500, real = 10;
  double loss = 0;  // share of the datagrams between hollow ones
};

// Seconds, bytes and kibibytes; below zero: it did not come about. Of each time: when half knew, when all
// did.
struct HollowOutcome {
  double one_view = -1;                                    // from the first start until all hold one view
  double rest_bytes = 0, rest_cpu = 0, memory = 0;         // a node and second; share of a core; a node
  double most_rest_bytes = 0;                              // of one node
  std::map<std::string, std::pair<double, double>> known;  // by what happened
  std::map<std::string, double> bytes, most_bytes,
      cpu;  // a node and second over the time that it took, and 4 s at least
};

// Throws std::runtime_error.
HollowOutcome run_hollow(const HollowPlan& plan, const std::vector<std::string>& program,
                         const std::string& folder);

}  // namespace flintweir::lab

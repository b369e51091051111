// A fleet of hollow nodes: the real view and the real carrying of changes on real datagrams over loopback, no
// clients, many to a process, and some whole processes of the real program among them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct InProcessFleetPlan {
  unsigned members = 500, processes = 10;
  double datagram_loss = 0;  // share of the datagrams between hollow ones
};

// Seconds, bytes and kibibytes; below zero: it did not come about. Of each time: when half knew, when all
// did.
struct InProcessFleetResult {
  double converged_s = -1;  // from the first start until all hold one view
  double idle_bytes_per_second = 0, idle_cpu = 0,
         memory_kib = 0;                 // a node and second; share of a core; a node
  double max_idle_bytes_per_second = 0;  // of one node
  std::map<std::string, std::pair<double, double>> propagation_s;  // by what happened
  std::map<std::string, double> bytes_per_second, max_bytes_per_second,
      cpu;  // a node and second over the time that it took, and 4 s at least
};

// Throws std::runtime_error.
InProcessFleetResult run_in_process_fleet(const InProcessFleetPlan& plan,
                                          const std::vector<std::string>& program, const std::string& folder);

}  // namespace flintweir::lab

// Measures a large fleet on one machine. Most nodes run the real code for membership and for configuration
// changes over loopback datagrams, but serve no clients, so that many of them fit into one process. The
// others are processes of the real program.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct InProcessFleetPlan {
  unsigned members = 500;    // of the fleet, the separate processes included
  unsigned processes = 10;   // members that are processes of the real program
  double datagram_loss = 0;  // share of the datagrams sent by in-process nodes that get lost
};

// Times in seconds; negative if the event did not happen within the time limit. Traffic and processor time
// are those of in-process nodes, on average unless stated otherwise.
struct InProcessFleetResult {
  double converged_s = -1;  // from the first start until all in-process nodes hold the same, complete view
  double idle_bytes_per_second = 0;      // sent by each node
  double idle_cpu = 0;                   // share of a core for each node
  double memory_kib = 0;                 // for each node
  double max_idle_bytes_per_second = 0;  // of the node that sent most
  // By event: the times until half of the nodes knew of it, and until all did.
  std::map<std::string, std::pair<double, double>> propagation_s;
  // By event, over its propagation or at least 4 s: bytes sent by each node, bytes of the node that sent
  // most, and the share of a core for each node.
  std::map<std::string, double> bytes_per_second, max_bytes_per_second, cpu;
};

// Runs `program` for the separate processes, with files and logs in `folder`. Throws std::runtime_error.
InProcessFleetResult run_in_process_fleet(const InProcessFleetPlan& plan,
                                          const std::vector<std::string>& program, const std::string& folder);

}  // namespace flintweir::lab

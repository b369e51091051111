// One real node under more and more open sessions: what each costs it, and how long a line takes through it.
#pragma once

#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// What was measured with so many sessions open; the floor is the same connections without a node between.
struct NodeScalingResult {
  unsigned sessions = 0;
  double memory_kib = 0;       // resident, of the node
  double cpu_us_per_line = 0;  // of the node, user and system
  double line_ms[3] = {0, 0,
                       0};  // the line's time when all are spoken to in one instant: middle, 99, 99.9 in 100
  double baseline_ms[3] = {0, 0, 0};
  double lines_per_second = 0;         // passed on while all were spoken to without a pause
  double open_us = 0;                  // processor time of the node for a session to be opened
  double idle_cpu = 0;                 // share of a core with all open and silent but for probes
  double reconnect_ms[3] = {0, 0, 0};  // first answers of those who come back at once: middle, 99, worst
  unsigned reconnected = 0, refused = 0;
};

// `program` is the real one. Uses two descriptors a session in this process. Throws std::runtime_error.
std::vector<NodeScalingResult> measure_node_scaling(const std::vector<std::string>& program,
                                                    const std::vector<unsigned>& sizes,
                                                    const std::string& folder);

}  // namespace flintweir::lab

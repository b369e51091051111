// Measures one process of the real program under a growing number of open sessions: the cost of each session,
// and the time that a line takes through the node.
#pragma once

#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// The measurements with one number of open sessions.
struct NodeScalingResult {
  unsigned sessions = 0;
  double memory_kib = 0;       // growth of the node's resident memory by all sessions
  double cpu_us_per_line = 0;  // processor time of the node, user and system
  // Delay of a line when one is sent to each session at once, at percentiles 50, 99 and 99.9; the same over
  // direct connections, without a node.
  double line_ms[3] = {0, 0, 0};
  double baseline_ms[3] = {0, 0, 0};
  double lines_per_second = 0;  // passed on while lines are sent to all sessions without a pause
  double open_us = 0;           // processor time of the node to open a session
  double idle_cpu = 0;          // share of a core with all sessions open and no traffic but probes
  // Delay of the first answer when many clients connect at once, at percentiles 50, 99 and 100.
  double reconnect_ms[3] = {0, 0, 0};
  unsigned reconnected = 0;  // sessions that were opened at once
  unsigned refused = 0;
};

// Measures `program` with each number of sessions in `sizes`. Files and logs go to `folder`. Uses two
// descriptors for each session in this process, and raises its descriptor limit to the maximum. Throws
// std::runtime_error.
std::vector<NodeScalingResult> measure_node_scaling(const std::vector<std::string>& program,
                                                    const std::vector<unsigned>& sizes,
                                                    const std::string& folder);

}  // namespace flintweir::lab

// The plan of a membership experiment: the fleet, the timing of a run and the faults that a seed draws from.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// One [[trouble]] of an experiment file. How a fault uses `share`, `magnitude` and the times is described in
// the entry of fleet_fault_kinds() for its kind.
struct FleetFault {
  std::string kind;
  std::string name;           // selects this fault on the command line; the kind if the file gives no name
  double share = 0;           // of the running nodes; at least one node if others remain
  double magnitude = 0;       // `size` in the file: a probability or a number of datagrams per second
  Micros duration{0};         // `lasts` in the file
  Micros period_or_delay{0};  // `longer` in the file: a repetition period or an added network delay
  unsigned partitions = 2;    // `parts` in the file
  bool one_way = false;
};

struct FleetFaultKind {
  const char* name;
  bool virtual_only;  // needs virtual time
  const char* description;
};
const std::vector<FleetFaultKind>& fleet_fault_kinds();

struct MembershipPlan {
  // Whether the file is a membership experiment: its `kind` is "fleet". False for a file that cannot be
  // parsed.
  static bool is_membership_experiment(const std::string& path);
  // Throws InputError.
  static MembershipPlan from_file(const std::string& path, const std::string& variant = "");

  std::string name, about;
  unsigned nodes = 9, seed_nodes = 2;
  unsigned fault_count = 2;              // `at_once` in the file: faults drawn for each run
  Micros probe_interval{0};              // of the membership protocol
  Micros join_time{4'000'000};           // `starts`: from the first start until the fleet has formed
  Micros fault_window{6'000'000};        // `quiet`: the time in which the faults begin
  Micros convergence_limit{12'000'000};  // `settles`: from the end of the last fault to the final check
  Micros forget_after{0};                // how long a failed or departed member is remembered
  std::vector<FleetFault> faults;
  std::vector<std::string> variants;
};

}  // namespace flintweir::lab

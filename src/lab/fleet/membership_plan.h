// What an experiment on the fleet's own view asks for, and the troubles that a seed draws from it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// One kind of trouble; what it does is in its row of fleet_fault_kinds().
struct FleetFault {
  std::string kind, name;  // the name it is drawn by, if any of its own
  double share = 0;        // of the nodes, at least one
  double size = 0;
  Micros lasts{0}, longer{0};
  unsigned parts = 2;
  bool one_way = false;
};

struct FleetFaultKind {
  const char* name;
  bool virtual_only;
  const char* description;
};
const std::vector<FleetFaultKind>& fleet_fault_kinds();

struct MembershipPlan {
  // True where the file is one for the rig: its `kind` is "fleet".
  static bool is_membership_experiment(const std::string& path);
  // Throws InputError.
  static MembershipPlan from_file(const std::string& path, const std::string& variant = "");

  std::string name, about;
  unsigned nodes = 9, seeds = 2, at_once = 2;
  Micros interval{0}, starts{4'000'000}, quiet{6'000'000}, settles{12'000'000}, forgets{0};
  std::vector<FleetFault> faults;
  std::vector<std::string> variants;
};

}  // namespace flintweir::lab

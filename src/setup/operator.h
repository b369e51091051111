// The operator's own file (TOML): what a node does beyond what the platform's configuration asks for. Without
// the file, or without a section, all that the section turns on is off.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "address.h"
#include "ids.h"

namespace flintweir::setup {

// Section [fleet]: the fleet whose nodes know each other.
struct FleetSection {
  std::string name, zone;
  Address address, advertised;
  std::vector<Address> seeds;
  Micros probe_interval;    // between two probes
  Micros forget_after;      // a member that failed so long ago counts no more
  std::size_t max_members;  // members known at a time
  bool operator==(const FleetSection&) const = default;
};

// Section [leases]: leases for fleet-wide tasks, granted by a majority of these nodes.
struct LeasesSection {
  std::vector<std::string> voters;  // by name
  Micros length;
  std::string folder;  // where a voter keeps its promises; empty: nowhere
  bool operator==(const LeasesSection&) const = default;
};

// Section [changes]: changes of configuration carried from node to node.
struct ChangesSection {
  std::string folder;  // where the newest is kept for the next start; empty: nowhere
  bool operator==(const ChangesSection&) const = default;
};

class OperatorFile {
 public:
  // All that is wrong is found, a line for each: FILE:LINE:COLUMN: KEY: what, and what is allowed.
  static OperatorFile load(const std::string& path, std::vector<std::string>& wrong);
  static OperatorFile parse(const std::string& text, const std::string& path,
                            std::vector<std::string>& wrong);
  // Throws InvalidInput with the first line of what is wrong.
  static OperatorFile load_or_throw(const std::string& path);

  std::optional<FleetSection> fleet;
  std::optional<LeasesSection> leases;    // only beside a fleet
  std::optional<ChangesSection> changes;  // only beside a fleet
};

}  // namespace flintweir::setup

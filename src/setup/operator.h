// The operator's file (TOML): features of a node beyond the platform's configuration. Each section enables
// one feature; without the section, or without the file, the feature is off.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "address.h"
#include "ids.h"

namespace flintweir::setup {

// Section [fleet]: the node is a member of a fleet, whose nodes keep track of each other.
struct FleetSection {
  std::string name, zone;
  Address address, advertised;  // to bind, and to give to other members; the same unless set
  std::vector<Address> seeds;
  Micros probe_interval;    // between two probes
  Micros forget_after;      // a member that failed longer ago than this no longer counts
  std::size_t max_members;  // limit on the known members
  bool operator==(const FleetSection&) const = default;
};

// Section [leases]: leases for fleet-wide tasks, granted by a majority of the voters.
struct LeasesSection {
  std::vector<std::string> voters;  // node names
  Micros length;
  std::string folder;  // where a voter stores its promises; empty: they are not stored
  bool operator==(const LeasesSection&) const = default;
};

// Section [changes]: changes of configuration, replicated from node to node at run time.
struct ChangesSection {
  std::string folder;  // where the newest change is stored for the next start; empty: it is not stored
  bool operator==(const ChangesSection&) const = default;
};

class OperatorFile {
 public:
  // Reports all errors, one line each: FILE:LINE:COLUMN: KEY: the error, with the allowed values.
  static OperatorFile load(const std::string& path, std::vector<std::string>& errors);
  static OperatorFile parse(const std::string& text, const std::string& path,
                            std::vector<std::string>& errors);
  // Throws InvalidInput with the first error.
  static OperatorFile load_or_throw(const std::string& path);

  std::optional<FleetSection> fleet;
  std::optional<LeasesSection> leases;    // requires fleet
  std::optional<ChangesSection> changes;  // requires fleet
};

}  // namespace flintweir::setup

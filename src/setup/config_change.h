// A change of configuration (TOML): the settings that may change while nodes run. A setting that the change
// does not name keeps the value of the node's own file.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "address.h"
#include "balance.h"
#include "setup/json_object.h"

namespace flintweir::setup {

struct ListenerChange {
  std::optional<Micros> handshake_target;
  std::optional<double> utility;
};

struct ConfigChange {
  // Reports all errors, one line each, as OperatorFile::parse() does.
  static ConfigChange parse(const std::string& text, const std::string& path,
                            std::vector<std::string>& errors);

  std::optional<Address> discovery;
  std::map<std::string, ListenerChange> listeners;
  std::optional<unsigned> max_dials;
  std::optional<double> probe, crossing;  // prices
};

// The settings of a running node that a change may affect.
struct RuntimeSettings {
  std::vector<Listener> listeners;
  DialLimits dials;
  Prices prices;
};

// The settings as the node's own file has them. Throws InvalidInput.
RuntimeSettings read_runtime_settings(const JsonObject& settings);

// Returns the settings with the change applied. Reports in `errors` what is not valid for this node; the
// caller must not use the result then.
RuntimeSettings apply_change(RuntimeSettings settings, const std::vector<std::string>& listener_names,
                             const ConfigChange& change, std::vector<std::string>& errors);

}  // namespace flintweir::setup

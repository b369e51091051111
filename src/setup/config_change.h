// The text of a change of configuration (TOML): what of the settings may change while a node runs. All that
// it does not name stands as in the node's own file.
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
  // All that is wrong is found, a line for each, as in the operator's file.
  static ConfigChange parse(const std::string& text, const std::string& path,
                            std::vector<std::string>& wrong);

  std::optional<Address> discovery;
  std::map<std::string, ListenerChange> listeners;
  std::optional<unsigned> most_dials;
  std::optional<double> probe, crossing;
};

// What a node runs by that a change may touch.
struct RuntimeSettings {
  std::vector<Listener> listeners;
  DialLimits dials;
  Prices prices;
};

// As the node's file has it. Throws InvalidInput.
RuntimeSettings read_runtime_settings(const JsonObject& settings);

// The same with the change; what does not fit this node is said in `wrong`, and then nothing of it counts.
RuntimeSettings apply_change(RuntimeSettings own, const std::vector<std::string>& listener_names,
                             const ConfigChange& change, std::vector<std::string>& wrong);

}  // namespace flintweir::setup

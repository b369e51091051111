// The text of a change of configuration (TOML): what of the settings may change while a node runs. All that
// it does not name stands as in the node's own file.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "address.h"
#include "balance.h"
#include "setup/values.h"

namespace flintweir::setup {

struct ChangedListener {
  std::optional<Micros> handshake_target;
  std::optional<double> utility;
};

struct ChangeText {
  // All that is wrong is found, a line for each, as in the operator's file.
  static ChangeText of_text(const std::string& text, const std::string& path,
                            std::vector<std::string>& wrong);

  std::optional<Address> discovery;
  std::map<std::string, ChangedListener> listeners;
  std::optional<unsigned> most_dials;
  std::optional<double> probe, crossing;
};

// What a node runs by that a change may touch.
struct Running {
  std::vector<Listener> listeners;
  DialLimits dials;
  Prices prices;
};

// As the node's file has it. Throws BadInput.
Running running_of(const Values& settings);

// The same with the change; what does not fit this node is said in `wrong`, and then nothing of it counts.
Running changed(Running own, const std::vector<std::string>& listener_names, const ChangeText& change,
                std::vector<std::string>& wrong);

}  // namespace flintweir::setup

// Reads a deployment's settings, in the operators' names, into the module's arguments. One piece of code for
// the node and for the adapter to the simulator; none of these names goes further.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balance.h"
#include "setup/values.h"

namespace flintweir::setup {

// The balancer that the settings ask for. Throws BadInput.
std::unique_ptr<Balancer> balancer_for(const Values& settings, BalancerActions& outlet, std::uint64_t seed);

// Its listeners, in their order. Throws BadInput.
std::vector<Listener> listeners(const Values& settings);

// The names of a list of objects or texts, in their order.
std::vector<std::string> names(const Values& settings, std::string_view list);

// The fields of load reports, in their order.
std::vector<std::string> report_fields(const Values& settings);

// Puts one field of a load report, by the operators' name, where the module wants it; others are ignored.
void set_field(LoadReport& report, std::string_view name, double value);

// A host's or client's id out of its name, the same at every node.
std::uint64_t id_of(std::string_view name);

// A key as it is written: a number in hexadecimal; any other text still names one thing.
std::uint64_t key_of(std::string_view text);

// Zero where clients cannot be told when to come back.
Micros longest_stay_away(const Values& settings);

}  // namespace flintweir::setup

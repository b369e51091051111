// Reads a deployment's settings, in the operators' names, into the module's arguments. One piece of code for
// the node and for the adapter to the simulator; none of these names goes further.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balance.h"
#include "setup/json_object.h"

namespace flintweir::setup {

// The balancer that the settings ask for. Throws InvalidInput.
std::unique_ptr<Balancer> create_balancer(const JsonObject& settings, BalancerDelegate& outlet,
                                          std::uint64_t seed);

// Its listeners, in their order. Throws InvalidInput.
std::vector<Listener> read_listeners(const JsonObject& settings);

// The names of a list of objects or texts, in their order.
std::vector<std::string> read_names(const JsonObject& settings, std::string_view list);

// The fields of load reports, in their order.
std::vector<std::string> read_report_fields(const JsonObject& settings);

// Puts one field of a load report, by the operators' name, where the module wants it; others are ignored.
void set_report_field(LoadReport& report, std::string_view name, double value);

// A host's or client's id out of its name, the same at every node.
std::uint64_t hash_name(std::string_view name);

// A key as it is written: a number in hexadecimal; any other text still names one thing.
std::uint64_t parse_key(std::string_view text);

// Zero where clients cannot be told when to come back.
Micros read_max_retry_after(const JsonObject& settings);

}  // namespace flintweir::setup

// Reads the settings of a deployment (JSON) into the parameters of the balancer, which does not know the key
// names of the settings. Shared by the node and by the adapter to the simulator.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balance.h"
#include "setup/json_object.h"

namespace flintweir::setup {

// Creates a balancer with these settings. `delegate` has to outlive it. Throws InvalidInput.
std::unique_ptr<Balancer> create_balancer(const JsonObject& settings, BalancerDelegate& delegate,
                                          std::uint64_t seed);

// The configured listeners, in order. Throws InvalidInput.
std::vector<Listener> read_listeners(const JsonObject& settings);

// The names in a list of strings or of objects with a "name", in order. Throws InvalidInput.
std::vector<std::string> read_names(const JsonObject& settings, std::string_view list);

// The names of the fields of load reports, in order. Throws InvalidInput.
std::vector<std::string> read_report_fields(const JsonObject& settings);

// Sets one field of a load report by its name in the settings; unknown names are ignored.
void set_report_field(LoadReport& report, std::string_view name, double value);

// The id of a host or client: a hash of its name, the same on every node.
std::uint64_t hash_name(std::string_view name);

// A key: a hexadecimal number as it is, the hash_name() of any other text.
std::uint64_t parse_key(std::string_view text);

// The longest delay that a refused client can be asked to wait; zero if clients can't be given one.
Micros read_max_retry_after(const JsonObject& settings);

}  // namespace flintweir::setup

// Simple balancers to compare the module with, for the lab only: random, round-robin, and least connections
// of this node. They respect the host list and the rules for repeated dials, and never probe hosts.
#pragma once

#include <memory>
#include <string>

#include "node/node.h"

namespace flintweir::lab {

// `name` is "module", "random", "round-robin" or "least-connections".
node::BalancerFactory balancer_factory(const std::string& name);

}  // namespace flintweir::lab

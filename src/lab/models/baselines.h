// Plain balancers to compare the module with, in the lab only: at random, in turn, and to the host with the
// fewest connections of this node's. They keep to the list and to what may be dialled again, and ask nothing.
#pragma once

#include <memory>
#include <string>

#include "node/node.h"

namespace flintweir::lab {

// Of "module", "random", "round-robin" or "least-connections".
node::BalancerFactory balancer_factory(const std::string& name);

}  // namespace flintweir::lab

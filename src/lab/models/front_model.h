// The balancer in front of the nodes: spreads clients over the nodes of their zone, adds a node once it has
// passed a health check, and removes a failed node only after a delay. Performs no I/O and reads no clock.
#pragma once

#include <optional>
#include <vector>

#include "lab/faults/plan.h"

namespace flintweir::lab {

using NodeNo = Id<struct NodeTag, std::uint32_t>;

class FrontModel {
 public:
  explicit FrontModel(std::vector<ZoneId> zones_of_nodes) {
    for (const ZoneId zone : zones_of_nodes) nodes_.push_back({zone});
  }
  void check_succeeded(NodeNo node_no) {
    nodes_[node_no.value].in_rotation = true;
    nodes_[node_no.value].remove_at.reset();
  }
  // Clients are still sent to the node for `removal_delay` after its first failed check.
  void check_failed(NodeNo node_no, Micros now, Micros removal_delay) {
    NodeState& node = nodes_[node_no.value];
    if (node.in_rotation && !node.remove_at) node.remove_at = now + removal_delay;
  }
  // Round-robin over the nodes of the zone, or over all nodes if the zone has none in rotation.
  std::optional<NodeNo> choose(ZoneId zone, Micros now) {
    for (const bool any_zone : {false, true}) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const std::size_t index = (next_ + i) % nodes_.size();
        NodeState& node = nodes_[index];
        if (node.remove_at && now >= *node.remove_at) node.in_rotation = false, node.remove_at.reset();
        if (!node.in_rotation || (!any_zone && node.zone != zone)) continue;
        next_ = index + 1;
        return NodeNo{static_cast<std::uint32_t>(index)};
      }
    }
    return std::nullopt;
  }
  bool in_rotation(NodeNo node_no) const { return nodes_[node_no.value].in_rotation; }

 private:
  struct NodeState {
    ZoneId zone;
    bool in_rotation = false;
    std::optional<Micros> remove_at{};
  };
  std::vector<NodeState> nodes_;
  std::size_t next_ = 0;
};

}  // namespace flintweir::lab

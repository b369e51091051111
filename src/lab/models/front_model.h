// The front that spreads clients over the nodes of their zone, takes a node in once it has answered a check,
// and notices only late that one has died. No I/O and no clock.
#pragma once

#include <optional>
#include <vector>

#include "lab/faults/plan.h"

namespace flintweir::lab {

using NodeNo = Id<struct NodeTag, std::uint32_t>;

class FrontModel {
 public:
  explicit FrontModel(std::vector<ZoneNo> zones_of_nodes) {
    for (const ZoneNo z : zones_of_nodes) nodes_.push_back({z});
  }
  void check_succeeded(NodeNo n) {
    nodes_[n.value].in = true;
    nodes_[n.value].away_at.reset();
  }
  // A check failed; clients go on coming for `late` from the first failure on.
  void check_failed(NodeNo n, Micros now, Micros late) {
    Seen& node = nodes_[n.value];
    if (node.in && !node.away_at) node.away_at = now + late;
  }
  // In turn among those of the zone, or of any zone where that has none.
  std::optional<NodeNo> choose(ZoneNo zone, Micros now) {
    for (const bool any : {false, true}) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const std::size_t at = (turn_ + i) % nodes_.size();
        Seen& node = nodes_[at];
        if (node.away_at && now >= *node.away_at) node.in = false, node.away_at.reset();
        if (!node.in || (!any && node.zone != zone)) continue;
        turn_ = at + 1;
        return NodeNo{static_cast<std::uint32_t>(at)};
      }
    }
    return std::nullopt;
  }
  bool takes(NodeNo n) const { return nodes_[n.value].in; }

 private:
  struct Seen {
    ZoneNo zone;
    bool in = false;
    std::optional<Micros> away_at{};
  };
  std::vector<Seen> nodes_;
  std::size_t turn_ = 0;
};

}  // namespace flintweir::lab

// When a change of the list counts as told to nodes that have not heard of it, by the protocol's page: 6 s
// after discovery had it and could be reached, or 4 s after nodes were told of another service. No I/O and no
// clock.
#pragma once

#include <vector>

#include "lab/models/list_model.h"

namespace flintweir::lab {

class ChangeDeadlines {
 public:
  struct Change {
    ListModel::Entry entry;
    Micros published_at;  // by discovery, as far as is known
    Micros deadline;      // to all nodes, heard or not
  };
  explicit ChangeDeadlines(std::uint64_t version) : version_(version) {}

  // To be called often: a deadline may be later by the time between two calls, never sooner.
  void update(const ListModel& list, bool reachable, Micros now);
  void discovery_moved(Micros now);  // nodes are told of another service
  // Those that count as told by now, in their order, each once.
  std::vector<Change> take_due(Micros now);

 private:
  std::uint64_t version_;  // up to which all is taken in
  std::vector<Change> open_;
};

}  // namespace flintweir::lab

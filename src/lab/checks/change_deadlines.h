// Deadlines by which every node has to know a change of the host list, as the protocol states them: 6 s after
// discovery had the change and was reachable, or 4 s after nodes were given another service. Performs no I/O
// and reads no clock.
#pragma once

#include <vector>

#include "lab/models/list_model.h"

namespace flintweir::lab {

class ChangeDeadlines {
 public:
  struct Change {
    ListModel::Entry entry;
    Micros published_at;  // when update() first saw it in the list
    Micros deadline;      // when all nodes have to know it, whether or not they were sent it
  };
  explicit ChangeDeadlines(std::uint64_t version) : version_(version) {}

  // Takes in new changes of the list. To be called often: a deadline may be late by the time between two
  // calls, and is never early.
  void update(const ListModel& list, bool reachable, Micros now);
  void discovery_moved(Micros now);  // nodes are given the address of another service
  // Removes and returns the changes whose deadline has passed, in the order of the list.
  std::vector<Change> take_due(Micros now);

 private:
  std::uint64_t version_;  // the latest that update() has taken in
  std::vector<Change> pending_;
};

}  // namespace flintweir::lab

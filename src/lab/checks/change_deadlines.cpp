#include "lab/checks/change_deadlines.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// Fixed by the protocol; not configurable on a node.
constexpr Micros kChangeDeadline = 6s, kMoveDeadline = 4s;

}  // namespace

void ChangeDeadlines::update(const ListModel& list, bool reachable, Micros now) {
  const std::uint64_t version = list.version(now);
  if (version > version_)
    for (const ListModel::Entry& entry : list.changes_since(version_, now))
      pending_.push_back({entry, now, Micros::max()});
  version_ = std::max(version_, version);
  if (!reachable) return;
  for (Change& change : pending_) change.deadline = std::min(change.deadline, now + kChangeDeadline);
}

void ChangeDeadlines::discovery_moved(Micros now) {
  for (Change& change : pending_) change.deadline = std::min(change.deadline, now + kMoveDeadline);
}

std::vector<ChangeDeadlines::Change> ChangeDeadlines::take_due(Micros now) {
  const auto first_pending = std::stable_partition(
      pending_.begin(), pending_.end(), [now](const Change& change) { return change.deadline <= now; });
  std::vector<Change> due(pending_.begin(), first_pending);
  pending_.erase(pending_.begin(), first_pending);
  return due;
}

}  // namespace flintweir::lab

#include "lab/checks/change_deadlines.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// The protocol's figures, as nodes may not choose them.
constexpr Micros kAfterChange = 6s, kAfterTurn = 4s;

}  // namespace

void ChangeDeadlines::update(const ListModel& list, bool reachable, Micros now) {
  const std::uint64_t version = list.version(now);
  if (version > version_)
    for (const ListModel::Entry& entry : list.changes_since(version_, now))
      open_.push_back({entry, now, Micros::max()});
  version_ = std::max(version_, version);
  if (!reachable) return;
  for (Change& change : open_) change.deadline = std::min(change.deadline, now + kAfterChange);
}

void ChangeDeadlines::discovery_moved(Micros now) {
  for (Change& change : open_) change.deadline = std::min(change.deadline, now + kAfterTurn);
}

std::vector<ChangeDeadlines::Change> ChangeDeadlines::take_due(Micros now) {
  const auto later = std::stable_partition(open_.begin(), open_.end(),
                                           [now](const Change& change) { return change.deadline <= now; });
  std::vector<Change> out(open_.begin(), later);
  open_.erase(open_.begin(), later);
  return out;
}

}  // namespace flintweir::lab

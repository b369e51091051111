#include "lab/checks/change_deadlines.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// The protocol's figures, as nodes may not choose them.
constexpr Micros kAfterChange = 6s, kAfterTurn = 4s;

}  // namespace

void ChangeDeadlines::look(const ListModel& list, bool reachable, Micros now) {
  const std::uint64_t version = list.version(now);
  if (version > version_)
    for (const ListModel::Entry& entry : list.since(version_, now))
      open_.push_back({entry, now, Micros::max()});
  version_ = std::max(version_, version);
  if (!reachable) return;
  for (Due& change : open_) change.told_at = std::min(change.told_at, now + kAfterChange);
}

void ChangeDeadlines::moved(Micros now) {
  for (Due& change : open_) change.told_at = std::min(change.told_at, now + kAfterTurn);
}

std::vector<ChangeDeadlines::Due> ChangeDeadlines::due(Micros now) {
  const auto later = std::stable_partition(open_.begin(), open_.end(),
                                           [now](const Due& change) { return change.told_at <= now; });
  std::vector<Due> out(open_.begin(), later);
  open_.erase(open_.begin(), later);
  return out;
}

}  // namespace flintweir::lab

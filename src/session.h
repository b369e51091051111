// What is kept of a session in hand, and the count of a host's sessions by group.
#pragma once

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "balance.h"

namespace flintweir {

enum class State { held, dialing, open, over };

struct Session {
  SessId id;
  Taken taken;
  State state = State::held;
  Micros give_up_at{0};
  unsigned dials = 0;
  bool dial_out = false;
  bool waiting = false;  // a wake-up of its own is under way
  bool moved = false;
  HostId host;
  Micros dialed_at{0};
  std::array<HostId, 6> tried{};
  // The first dial that may have run, and where.
  bool may_have_run = false;
  Micros ran_at{0};
  ZoneId ran_zone;
  CellId ran_cell;
  double load = 0;     // in microseconds of work a second
  double charged = 0;  // what its dial was counted for at its host

  bool has_tried(HostId h) const {
    const auto end = tried.begin() + std::min<std::size_t>(dials, tried.size());
    return std::find(tried.begin(), end, h) != end;
  }
};

class GroupCount {
 public:
  unsigned of(GroupId g) const {
    for (const auto& [group, count] : counts_) {
      if (group == g) return count;
    }
    return 0;
  }
  void join(GroupId g) {
    for (auto& [group, count] : counts_) {
      if (group == g) return void(++count);
    }
    counts_.emplace_back(g, 1);
  }
  void leave(GroupId g) {
    for (auto& entry : counts_) {
      if (entry.first != g) continue;
      if (--entry.second == 0) {
        entry = counts_.back();
        counts_.pop_back();
      }
      return;
    }
  }

 private:
  std::vector<std::pair<GroupId, unsigned>> counts_;
};

}  // namespace flintweir

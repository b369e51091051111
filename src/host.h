// What is known of a host as plain facts, and hosts in the order of their ids.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "balance.h"
#include "numbers.h"

namespace flintweir {

class GroupCount {
 public:
  unsigned of(GroupId g) const {
    for (const auto& [group, count] : counts_) {
      if (group == g) return count;
    }
    return 0;
  }
  std::size_t kinds() const { return counts_.size(); }
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

struct HostFacts {
  explicit HostFacts(HostId h, Micros sent_half) : id(h), sent(sent_half) {}

  HostId id;
  ZoneId zone;
  CellId cell;
  HostStatus standing = HostStatus::active;
  double share = 1;  // its size beside the others'
  Micros started{0};
  bool listed = false;
  bool drained = false;      // was listed as draining since it started
  Micros off_list = kNever;  // since when the list calls it gone or leaves it out

  unsigned own = 0;     // own open connections
  double own_load = 0;  // their load, in microseconds of work a second
  unsigned dialing = 0;
  GroupCount groups;
  DecayingSum sent;  // load sent lately, which the reports may not show yet
  SlidingSum cold_sent;
  Micros delay{0}, delay_at = kNever;  // of messages, as last noted

  // An older list may come again: a start is never taken back, and where only draining binds nothing but a
  // restart ends it.
  void tell(ZoneId z, CellId c, HostStatus now_is, double size, Micros since, Micros now,
            bool only_draining_binds) {
    listed = true;
    if (now_is == HostStatus::removed) return list_lacks_it(now, only_draining_binds);
    drained = now_is == HostStatus::draining || (drained && only_draining_binds && since <= started);
    standing = drained ? HostStatus::draining : now_is;
    off_list = kNever;
    zone = z;
    cell = c;
    share = size > 0 ? size : 1;
    started = std::max(started, since);
  }
  void list_lacks_it(Micros now, bool only_draining_binds) {
    if (!only_draining_binds || drained) standing = HostStatus::removed;
    if (off_list == kNever) off_list = now;
  }
  bool missing() const { return usable() && off_list != kNever; }
  bool usable() const { return standing == HostStatus::active; }
  bool holds(std::optional<GroupId> g) const { return g && groups.of(*g) > 0; }
  void opened(double load, std::optional<GroupId> g) {
    ++own;
    own_load += load;
    if (g) groups.join(*g);
  }
  void closed(double load, std::optional<GroupId> g) {
    --own;
    own_load = own ? own_load - load : 0;
    if (g) groups.leave(*g);
  }
};

template <class Host>
class HostsById {
 public:
  Host* find(HostId id) {
    const auto it = place(id);
    return it != hosts_.end() && it->id == id ? &*it : nullptr;
  }
  Host& add(Host host) { return *hosts_.insert(place(host.id), std::move(host)); }
  template <class Gone>
  void drop_if(Gone gone) {
    std::erase_if(hosts_, gone);
  }
  auto begin() { return hosts_.begin(); }
  auto end() { return hosts_.end(); }
  auto begin() const { return hosts_.begin(); }
  auto end() const { return hosts_.end(); }
  std::size_t size() const { return hosts_.size(); }
  Host& operator[](std::size_t i) { return hosts_[i]; }

 private:
  auto place(HostId id) {
    return std::lower_bound(hosts_.begin(), hosts_.end(), id,
                            [](const Host& a, HostId b) { return a.id < b; });
  }
  std::vector<Host> hosts_;
};

}  // namespace flintweir

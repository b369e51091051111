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
  Standing standing = Standing::in;
  double share = 1;  // its size beside the others'
  Micros started{0};
  bool listed = false;

  unsigned own = 0;     // own open connections
  double own_load = 0;  // their load, in microseconds of work a second
  unsigned dialing = 0;
  GroupCount groups;
  FadingSum sent;  // load sent lately, which the reports may not show yet
  RecentSum cold_sent;
  Micros delay{0}, delay_at = kNever;  // of messages, as last noted

  void tell(ZoneId z, CellId c, Standing now_is, double size, Micros since) {
    zone = z;
    cell = c;
    standing = now_is;
    share = size > 0 ? size : 1;
    started = since;
    listed = true;
  }
  bool usable() const { return standing == Standing::in; }
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

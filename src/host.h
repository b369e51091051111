// The state that the balancer keeps of each host, and a container of hosts sorted by id.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "balance.h"
#include "numbers.h"

namespace flintweir {

// How many open connections of each group a host has.
class GroupCounts {
 public:
  unsigned count(GroupId g) const {
    for (const auto& [group, count] : counts_) {
      if (group == g) return count;
    }
    return 0;
  }
  std::size_t size() const { return counts_.size(); }
  void add(GroupId g) {
    for (auto& [group, count] : counts_) {
      if (group == g) return void(++count);
    }
    counts_.emplace_back(g, 1);
  }
  void remove(GroupId g) {
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

struct HostState {
  explicit HostState(HostId h, Micros recent_half_life) : id(h), recent_load(recent_half_life) {}

  HostId id;
  ZoneId zone;
  CellId cell;
  HostStatus status = HostStatus::active;
  double weight = 1;  // its capacity relative to that of the other hosts
  Micros started{0};
  bool listed = false;
  bool drained = false;            // has been listed as draining since it started
  Micros unlisted_since = kNever;  // when the list first named it as removed, or left it out

  unsigned own_connections = 0;  // open connections from this node
  double own_load = 0;           // their load, in microseconds of work per second
  unsigned dials = 0;            // in progress
  GroupCounts groups;
  DecayingSum recent_load;     // load sent lately, which the host's reports may not include yet
  SlidingSum sent_while_cold;  // load sent lately
  Micros message_delay{0}, message_delay_at = kNever;  // as last measured on a connection

  // Takes over an entry of the list. A list may be older than the one before: the start time never goes back,
  // and where only draining binds, a drained host stays drained until it restarts.
  void update(ZoneId new_zone, CellId new_cell, HostStatus listed_status, double listed_weight,
              Micros listed_start, Micros now, bool only_draining_binds) {
    listed = true;
    if (listed_status == HostStatus::removed) return mark_unlisted(now, only_draining_binds);
    drained =
        listed_status == HostStatus::draining || (drained && only_draining_binds && listed_start <= started);
    status = drained ? HostStatus::draining : listed_status;
    unlisted_since = kNever;
    zone = new_zone;
    cell = new_cell;
    weight = listed_weight > 0 ? listed_weight : 1;
    started = std::max(started, listed_start);
  }
  // The list names the host as removed, or no longer names it.
  void mark_unlisted(Micros now, bool only_draining_binds) {
    if (!only_draining_binds || drained) status = HostStatus::removed;
    if (unlisted_since == kNever) unlisted_since = now;
  }
  // May be used although it is not on the list.
  bool unlisted() const { return usable() && unlisted_since != kNever; }
  bool usable() const { return status == HostStatus::active; }
  bool has_group(std::optional<GroupId> g) const { return g && groups.count(*g) > 0; }
  void connection_opened(double load, std::optional<GroupId> g) {
    ++own_connections;
    own_load += load;
    if (g) groups.add(*g);
  }
  void connection_closed(double load, std::optional<GroupId> g) {
    --own_connections;
    own_load = own_connections ? own_load - load : 0;
    if (g) groups.remove(*g);
  }
};

template <class Host>
class SortedHosts {
 public:
  Host* find(HostId id) {
    const auto it = lower_bound(id);
    return it != hosts_.end() && it->id == id ? &*it : nullptr;
  }
  Host& add(Host host) { return *hosts_.insert(lower_bound(host.id), std::move(host)); }
  template <class Predicate>
  void erase_if(Predicate predicate) {
    std::erase_if(hosts_, predicate);
  }
  auto begin() { return hosts_.begin(); }
  auto end() { return hosts_.end(); }
  auto begin() const { return hosts_.begin(); }
  auto end() const { return hosts_.end(); }
  std::size_t size() const { return hosts_.size(); }
  Host& operator[](std::size_t i) { return hosts_[i]; }

 private:
  auto lower_bound(HostId id) {
    return std::lower_bound(hosts_.begin(), hosts_.end(), id,
                            [](const Host& a, HostId b) { return a.id < b; });
  }
  std::vector<Host> hosts_;
};

}  // namespace flintweir

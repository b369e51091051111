// Discovery, as a list that is late: what changed is told a while after it did. No I/O and no clock.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "balance.h"

namespace flintweir::lab {

class ListModel {
 public:
  struct Entry {
    std::string name, endpoint, zone;
    unsigned cell = 0;
    double capacity_hint = 1;
    HostStatus status = HostStatus::active;
    Micros boot_time{0};
  };
  struct Change {
    std::uint64_t version;
    Micros told_from;
    Entry entry;
  };

  explicit ListModel(std::uint64_t version) : version_(version), first_(version) {}
  // Changes are told in the order in which they came, each no sooner than at `told_from`.
  void add_change(const Entry& entry, Micros told_from) {
    if (!changes_.empty()) told_from = std::max(told_from, changes_.back().told_from);
    changes_.push_back({++version_, told_from, entry});
  }
  // What it tells from `now` on stays as it is until thawed.
  void freeze(Micros now) { frozen_ = now; }
  void unfreeze() { frozen_ = Micros::max(); }

  std::uint64_t version(Micros now) const {
    std::uint64_t out = first_;
    for (const Change& c : changes_)
      if (c.told_from <= std::min(now, frozen_)) out = c.version;
    return out;
  }
  // Entries that changed after a version, the latest of each; after 0 all that are not gone.
  std::vector<Entry> changes_since(std::uint64_t version, Micros now) const {
    std::vector<Entry> out;
    for (const Change& c : changes_) {
      if (c.told_from > std::min(now, frozen_)) break;
      if (c.version <= version) continue;
      std::erase_if(out, [&](const Entry& e) { return e.name == c.entry.name; });
      out.push_back(c.entry);
    }
    if (version == 0) std::erase_if(out, [](const Entry& e) { return e.status == HostStatus::removed; });
    return out;
  }
  // When the next change becomes known; max: none is under way.
  Micros next_after(Micros now) const {
    for (const Change& c : changes_)
      if (c.told_from > now) return c.told_from;
    return Micros::max();
  }

 private:
  std::uint64_t version_, first_;
  Micros frozen_ = Micros::max();
  std::vector<Change> changes_;
};

}  // namespace flintweir::lab

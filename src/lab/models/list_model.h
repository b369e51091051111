// The host list of discovery, with a delay between a change and its publication. Performs no I/O and reads no
// clock.
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
    Micros published_at;
    Entry entry;
  };

  explicit ListModel(std::uint64_t version) : version_(version), initial_version_(version) {}
  // Changes are published in the order in which they are added, none before its `published_at`.
  void add_change(const Entry& entry, Micros published_at) {
    if (!changes_.empty()) published_at = std::max(published_at, changes_.back().published_at);
    changes_.push_back({++version_, published_at, entry});
  }
  // Keeps the published list as it is at `now` until unfreeze().
  void freeze(Micros now) { frozen_at_ = now; }
  void unfreeze() { frozen_at_ = Micros::max(); }

  std::uint64_t version(Micros now) const {
    std::uint64_t latest = initial_version_;
    for (const Change& change : changes_)
      if (change.published_at <= std::min(now, frozen_at_)) latest = change.version;
    return latest;
  }
  // The latest entry of each host that changed after `version`; for version 0, all hosts that are not
  // removed.
  std::vector<Entry> changes_since(std::uint64_t version, Micros now) const {
    std::vector<Entry> entries;
    for (const Change& change : changes_) {
      if (change.published_at > std::min(now, frozen_at_)) break;
      if (change.version <= version) continue;
      std::erase_if(entries, [&](const Entry& other) { return other.name == change.entry.name; });
      entries.push_back(change.entry);
    }
    if (version == 0)
      std::erase_if(entries, [](const Entry& other) { return other.status == HostStatus::removed; });
    return entries;
  }
  // When the next change will be published, max() if none is pending.
  Micros next_change_after(Micros now) const {
    for (const Change& change : changes_)
      if (change.published_at > now) return change.published_at;
    return Micros::max();
  }

 private:
  std::uint64_t version_, initial_version_;
  Micros frozen_at_ = Micros::max();
  std::vector<Change> changes_;
};

}  // namespace flintweir::lab

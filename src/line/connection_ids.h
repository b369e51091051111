// The ids that clients choose for their connections.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "ids.h"

namespace flintweir::line {

using ConnectionId = Id<struct ConnectionIdTag, std::uint64_t>;  // from a client's first line

// An id as its client wrote it, for log lines: "-" if none was read, truncated to 32 characters, which no
// proper id exceeds.
class LoggedId {
 public:
  LoggedId() : LoggedId("-") {}
  explicit LoggedId(std::string_view id) {
    const std::size_t size = std::min(id.size(), text_.size() - 1);
    std::copy_n(id.begin(), size, text_.begin());
    text_[size] = '\0';
  }
  const char* text() const { return text_.data(); }

 private:
  std::array<char, 33> text_;
};

// The ids in use and the most recently retired ones. Clients must choose a new id for every connection. A
// duplicate is rejected here, both while its connection lasts and for some time after: what it asks for would
// have its effect twice, or the host would answer with an error, which would count against a healthy host.
class ConnectionIds {
 public:
  explicit ConnectionIds(std::size_t max_retired) : max_retired_(max_retired) {
    ids_.reserve(2 * max_retired);
  }

  // Returns false if the id is in use or was retired recently.
  bool claim(ConnectionId id) {
    if (free_nodes_.empty()) return ids_.insert(id).second;
    Set::node_type& node = free_nodes_.back();
    node.value() = id;
    if (auto inserted = ids_.insert(std::move(node)); !inserted.inserted) {
      node = std::move(inserted.node);
      return false;
    }
    free_nodes_.pop_back();
    return true;
  }
  // Ends the use of an id that no host has seen. It can be claimed again at once.
  void release(ConnectionId id) { keep_node(ids_.extract(id)); }
  // Ends the use of an id. It can be claimed again once `max_retired` other ids have been retired after it.
  void retire(ConnectionId id) {
    if (retired_.size() < max_retired_) return retired_.push_back(id);
    release(std::exchange(retired_[next_retired_++ % max_retired_], id));
  }

 private:
  struct Hash {
    std::size_t operator()(ConnectionId id) const { return id.value; }
  };
  using Set = std::unordered_set<ConnectionId, Hash>;
  void keep_node(Set::node_type node) {
    if (!node.empty()) free_nodes_.push_back(std::move(node));
  }

  std::size_t max_retired_, next_retired_ = 0;
  Set ids_;
  std::vector<Set::node_type> free_nodes_;  // set nodes for reuse, so that claim() need not allocate
  std::vector<ConnectionId> retired_;       // a ring buffer once it is full
};

}  // namespace flintweir::line

// The ids that clients give their connections.
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

using ConnectionId = Id<struct ConnectionIdTag, std::uint64_t>;  // as a client's first line says

// An id as its client wrote it, for log lines: "-" where none came, cut where it is longer than ids are.
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

// Ids are new with every connection. Guards against one that comes again, while its connection lasts or
// after: hosts answer that with an error for which they are not to blame.
class ConnectionIds {
 public:
  explicit ConnectionIds(std::size_t kept) : kept_(kept) { ids_.reserve(2 * kept); }

  bool claim(ConnectionId id) {  // false: it is in use, or was lately
    if (spare_.empty()) return ids_.insert(id).second;
    Set::node_type& place = spare_.back();
    place.value() = id;
    if (auto done = ids_.insert(std::move(place)); !done.inserted) {
      place = std::move(done.node);
      return false;
    }
    spare_.pop_back();
    return true;
  }
  // Its connection is over: it is forgotten when so many others are over as well.
  void retire(ConnectionId id) {
    if (retired_.size() < kept_) return retired_.push_back(id);
    if (auto place = ids_.extract(std::exchange(retired_[next_++ % kept_], id)); !place.empty())
      spare_.push_back(std::move(place));
  }

 private:
  struct Hash {
    std::size_t operator()(ConnectionId id) const { return id.value; }
  };
  using Set = std::unordered_set<ConnectionId, Hash>;
  std::size_t kept_, next_ = 0;
  Set ids_;
  std::vector<Set::node_type> spare_;
  std::vector<ConnectionId> retired_;
};

}  // namespace flintweir::line

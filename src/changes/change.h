// A change of configuration as nodes pass it on: one number that only rises, and a text that each node checks
// for itself. The text is the whole of what differs from a node's own file, not what differs from the change
// before, so that any change can follow any other, and going back is one more.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::changes {

// The fencing token of the lease under which it was published: larger than that of every change before it.
using ChangeNumber = Id<struct ChangeNumberTag, std::uint64_t>;  // zero: none

inline constexpr std::size_t kMaxTextBytes = 4096, kPartBytes = 900;  // bytes; a part fits a datagram
inline constexpr std::size_t kMaxReasonBytes = 200;

// An empty text has one part as well.
inline std::uint32_t part_count(std::size_t size) {
  return size == 0 ? 1 : static_cast<std::uint32_t>((size + kPartBytes - 1) / kPartBytes);
}

struct Change {
  ChangeNumber number;
  std::string text;
};

// Which change, as told: two texts of one number, which no lease grants, are told apart by the checksum, and
// the larger one is taken everywhere.
struct ChangeId {
  ChangeNumber number;
  std::uint64_t checksum = 0;  // of the text
  std::uint32_t size = 0;
  friend auto operator<=>(const ChangeId&, const ChangeId&) = default;
};
ChangeId change_id(const Change& change);

// What a node has: the newest change that it knows, and the one it runs by, which is older where it has
// refused the newest. Zeros: none, its own file alone.
struct HeldChanges {
  ChangeId newest, in_force;
  friend bool operator==(const HeldChanges&, const HeldChanges&) = default;
};

// What a node says of itself.
struct Status {
  HeldChanges held;
  std::string reason;  // why it has refused the newest; empty: it has not
};

}  // namespace flintweir::changes

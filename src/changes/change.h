// A change of configuration as it is replicated: a number, which only increases, and a text, which each node
// validates for itself. The text holds all differences from a node's own file, not the differences from the
// previous change. So any change can follow any other one, and a rollback is another change.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::changes {

// The fencing token of the lease under which the change was published. It is larger than that of every
// earlier change.
using ChangeNumber = Id<struct ChangeNumberTag, std::uint64_t>;  // zero: no change

inline constexpr std::size_t kMaxTextBytes = 4096;
inline constexpr std::size_t kPartBytes = 900;  // of the text; one part fits into one datagram
inline constexpr std::size_t kMaxReasonBytes = 200;

// The number of parts that a text of this size is sent in; an empty text has one part as well.
inline std::uint32_t part_count(std::size_t size) {
  return size == 0 ? 1 : static_cast<std::uint32_t>((size + kPartBytes - 1) / kPartBytes);
}

struct Change {
  ChangeNumber number;
  std::string text;
};

// Identifies a change. No lease grants one number twice; if two texts had the same number nevertheless, the
// checksum would distinguish them, and all nodes would take the one with the larger id.
struct ChangeId {
  ChangeNumber number;
  std::uint64_t checksum = 0;  // of the text
  std::uint32_t size = 0;      // of the text, in bytes
  friend auto operator<=>(const ChangeId&, const ChangeId&) = default;
};
ChangeId change_id(const Change& change);

// The changes that a node holds: the newest it knows, and the one in force, which is older if the node
// refused the newest. Zeros: none; only the node's own file is in force.
struct HeldChanges {
  ChangeId newest, in_force;
  friend bool operator==(const HeldChanges&, const HeldChanges&) = default;
};

// The status that a node reports.
struct Status {
  HeldChanges held;
  std::string reason;  // why the node refused the newest change; empty if it did not
};

}  // namespace flintweir::changes

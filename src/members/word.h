// What is said of one member, and the order of what is said: a later start goes before any word of an
// earlier one, then the later word, then the worse standing. Failed and left are final for a start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "address.h"
#include "ids.h"

namespace flintweir::members {

using Start = Id<struct StartTag, std::uint64_t>;  // of a process; larger at each start of one name
using Nonce = Id<struct NonceTag, std::uint64_t>;  // an answer names its question

enum class Standing : std::uint8_t { joining, alive, suspected, leaving, failed, left };
inline const char* name_of(Standing s) {
  constexpr const char* kNames[] = {"joining", "alive", "suspected", "leaving", "failed", "left"};
  return kNames[static_cast<std::size_t>(s)];
}
inline bool final_for_start(Standing s) { return s >= Standing::failed; }

// Bytes at most.
inline constexpr std::size_t kLongestName = 64, kLongestZone = 32, kLongestVersion = 24, kLongestNote = 128;

struct Word {
  std::string_view name;
  Start start;
  std::uint32_t word = 0;  // grows as the member itself refutes or changes what it says
  Standing standing = Standing::alive;
  Address address;
  std::string_view zone, version, note;
  std::string_view by;  // whose word a suspicion or verdict is
};

}  // namespace flintweir::members

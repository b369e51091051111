// What is said of one member, and the order of what is said: a later start goes before any word of an
// earlier one, then the later word, then the worse standing. Failed and left are final for a start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "address.h"
#include "ids.h"

namespace flintweir::members {

using Generation = Id<struct GenerationTag, std::uint64_t>;  // of a process; larger at each start of one name
using Nonce = Id<struct NonceTag, std::uint64_t>;            // an answer names its question

enum class MemberState : std::uint8_t { joining, alive, suspected, leaving, failed, left };
inline const char* name_of(MemberState s) {
  constexpr const char* kNames[] = {"joining", "alive", "suspected", "leaving", "failed", "left"};
  return kNames[static_cast<std::size_t>(s)];
}
inline bool is_terminal(MemberState s) { return s >= MemberState::failed; }

// Bytes at most.
inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32, kMaxVersionBytes = 24,
                             kMaxMetadataBytes = 128;

struct MemberUpdate {
  std::string_view name;
  Generation generation;
  std::uint32_t incarnation = 0;  // grows as the member itself refutes or changes what it says
  MemberState state = MemberState::alive;
  Address address;
  std::string_view zone, version, metadata;
  std::string_view reported_by;  // whose word a suspicion or verdict is
};

}  // namespace flintweir::members

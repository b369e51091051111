// The state of one member as nodes report it to each other, and which of two reports wins: the later
// generation, then the higher incarnation, then the later state in the order of MemberState.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "address.h"
#include "ids.h"

namespace flintweir::members {

// Of a process; larger at each start of a process with the same name.
using Generation = Id<struct GenerationTag, std::uint64_t>;
using Nonce = Id<struct NonceTag, std::uint64_t>;  // matches a reply to its request

enum class MemberState : std::uint8_t { joining, alive, suspected, leaving, failed, left };
inline const char* name_of(MemberState state) {
  constexpr const char* kNames[] = {"joining", "alive", "suspected", "leaving", "failed", "left"};
  return kNames[static_cast<std::size_t>(state)];
}
// A member that is failed or left can return only with a later generation.
inline bool is_terminal(MemberState state) { return state >= MemberState::failed; }

inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32, kMaxVersionBytes = 24,
                             kMaxMetadataBytes = 128;

struct MemberUpdate {
  std::string_view name;
  Generation generation;
  std::uint32_t incarnation =
      0;  // incremented by the member itself, to refute a suspicion or publish a change
  MemberState state = MemberState::alive;
  Address address;
  std::string_view zone, version, metadata;
  std::string_view reported_by;  // the member that suspects it or reports it as failed
};

}  // namespace flintweir::members

// Identifiers, each of a type of its own so that they cannot be mixed up, and the unit of time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace flintweir {

using Micros = std::chrono::microseconds;

template <class Tag, class Rep>
struct Id {
  Rep value{};
  friend constexpr auto operator<=>(const Id&, const Id&) = default;
};

using HostId = Id<struct HostTag, std::uint64_t>;
using SessId = Id<struct SessTag, std::uint64_t>;  // chosen by the caller of the balancer
using ListenerId = Id<struct ListenerTag, std::uint32_t>;
using TenantId = Id<struct TenantTag, std::uint32_t>;
using ZoneId = Id<struct ZoneTag, std::uint32_t>;
using CellId = Id<struct CellTag, std::uint32_t>;
using GroupId = Id<struct GroupTag, std::uint64_t>;
using ClientKey = Id<struct ClientKeyTag, std::uint64_t>;
using DialNo = Id<struct DialTag, std::uint32_t>;
using TimerId = Id<struct TimerTag, std::uint64_t>;

}  // namespace flintweir

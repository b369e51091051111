// Messages between the voters and the clients that contend for a lease.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::leases {

// Fencing token of a grant; larger than the tokens of all earlier grants of the same lease.
using Token = Id<struct TokenTag, std::uint64_t>;
using Round = Id<struct RoundTag, std::uint64_t>;       // matches a reply to its request
using VoterIndex = Id<struct VoterTag, std::uint32_t>;  // in the configured list of voters

inline constexpr std::size_t kMaxLeaseNameBytes = 64, kMaxParticipantBytes = 96;

// As in Paxos: a majority first promises a token, then grants the lease under it. `query` asks for the status
// of the leases.
enum class RequestKind : std::uint8_t { prepare = 1, grant, release, query };
enum class ReplyKind : std::uint8_t {
  promised = 1,  // from now on this voter grants the lease to nobody else under a smaller token
  granted,       // for the requested duration, counted from before this reply was sent
  held,          // by another client
  preempted,     // a larger token has been promised: `highest_promised`
  released,      // by its holder; sent to the waiting clients
  queued         // held by another client; the requester will be sent `released`
};

struct Request {
  RequestKind kind = RequestKind::prepare;
  std::string_view lease;
  Token token;
  Round round;
  Micros duration{0};
};

struct Reply {
  ReplyKind kind = ReplyKind::preempted;
  std::string_view lease;
  Token token;  // of the request
  Round round;  // of the request
  Token highest_promised;
  std::string_view holder;
  Micros remaining{0};  // of this voter's grant, by its own clock
};

// Clocks run at most this much faster or slower than true time, as a ratio. Only the rate of a clock is
// relied on, never its reading.
inline constexpr double kMaxClockDrift = 0.01;

// How long a holder may rely on a grant, by its own clock, counted from before it sent the request. With any
// drift within the bound, this time has passed before the duration has passed on any voter's clock.
constexpr Micros usable_duration(Micros duration) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 - kMaxClockDrift) /
                                          (1 + kMaxClockDrift))};
}

}  // namespace flintweir::leases

// What voters and would-be holders say to each other of one lease.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::leases {

// Of a grant: larger than that of every grant before it of the same lease.
using Token = Id<struct TokenTag, std::uint64_t>;
using Round = Id<struct RoundTag, std::uint64_t>;       // an answer names the question's
using VoterIndex = Id<struct VoterTag, std::uint32_t>;  // its place in the set

inline constexpr std::size_t kMaxLeaseNameBytes = 64, kMaxParticipantBytes = 96;  // bytes

enum class RequestKind : std::uint8_t { prepare = 1, grant, release, query };
enum class ReplyKind : std::uint8_t {
  promised = 1,  // nobody else is granted it by this voter under a smaller token from now on
  granted,       // for the length asked for, from before this was said
  held,          // by another, or promised to a larger token: `highest` says which
  preempted,     // promised to a larger token
  released,      // to whoever stands in line: its holder has let go
  queued         // held by another, and who asks is told when it is free
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
  Token token;  // that it is about
  Round round;
  Token highest_promised;  // that this voter has promised
  std::string_view holder;
  Micros remaining{0};  // of what this voter has granted, by its clock
};

// Clocks run at most so much faster or slower than true time. Only rates are trusted, never what a clock
// shows.
inline constexpr double kMaxClockDrift = 0.01;

// How long a holder may count on a grant of that length, by its own clock, from before it asked: over by true
// time before any voter's clock has run the length, however both run within the bound.
constexpr Micros usable_duration(Micros duration) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 - kMaxClockDrift) /
                                          (1 + kMaxClockDrift))};
}

}  // namespace flintweir::leases

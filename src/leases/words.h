// What voters and would-be holders say to each other of one lease.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::leases {

// Of a grant: larger than that of every grant before it of the same lease.
using Token = Id<struct TokenTag, std::uint64_t>;
using Round = Id<struct RoundTag, std::uint64_t>;    // an answer names the question's
using VoterNo = Id<struct VoterTag, std::uint32_t>;  // its place in the set

inline constexpr std::size_t kLongestLease = 64, kLongestWho = 96;  // bytes

enum class Ask : std::uint8_t { promise = 1, grant, release, look };
enum class Say : std::uint8_t {
  promised = 1,  // nobody else is granted it by this voter under a smaller token from now on
  granted,       // for the length asked for, from before this was said
  held,          // by another, or promised to a larger token: `highest` says which
  later,         // promised to a larger token
  freed,         // to whoever stands in line: its holder has let go
  in_line        // held by another, and who asks is told when it is free
};

struct Request {
  Ask ask = Ask::promise;
  std::string_view lease;
  Token token;
  Round round;
  Micros length{0};
};

struct Reply {
  Say say = Say::later;
  std::string_view lease;
  Token token;  // that it is about
  Round round;
  Token highest;  // that this voter has promised
  std::string_view holder;
  Micros left{0};  // of what this voter has granted, by its clock
};

// Clocks run at most so much faster or slower than true time. Only rates are trusted, never what a clock
// shows.
inline constexpr double kRateBound = 0.01;

// How long a holder may count on a grant of that length, by its own clock, from before it asked: over by true
// time before any voter's clock has run the length, however both run within the bound.
constexpr Micros usable(Micros length) {
  return Micros{
      static_cast<std::int64_t>(static_cast<double>(length.count()) * (1 - kRateBound) / (1 + kRateBound))};
}

}  // namespace flintweir::leases

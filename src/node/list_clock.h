// When what a node has not heard of the list counts as told all the same. One clock, whether lists are pushed
// or asked for, and the only place that knows the protocol's figures. No I/O and no clock of its own.
#pragma once

#include <algorithm>

#include "ids.h"

namespace flintweir::node {

class ListClock {
 public:
  // The protocol's figures: so long after a change was there and the service could be reached; after the wait
  // that a call was allowed, if that is later; and after the node was told of another service.
  static constexpr Micros kAfterChange = std::chrono::seconds(6), kAfterWait = std::chrono::seconds(2),
                          kAfterTurn = std::chrono::seconds(4);

  enum class Failure {
    silent,      // nothing came, or not all of it: what it kept back, and since when, nobody knows
    answered,    // refused, broken off or malformed: whoever does that could be reached
    unreachable  // nobody listens there: a change made before counts from its return
  };

  // A call goes out that the service may hold for so long. It may have fallen silent at once.
  void called(Micros now, Micros wait) { out_ = now + std::max(kAfterChange, wait + kAfterWait); }
  // With a list that holds all there is.
  void answered() { out_ = missed_ = failed_ = kNothing; }
  // The next change may come right after the call has ended. Calls that fail after it, and the pauses between
  // them, put nothing off.
  void failed(Micros now, Failure how) {
    if (how == Failure::silent) missed_ = std::min(missed_, out_);
    if (how == Failure::answered) failed_ = std::min(failed_, now + kAfterChange);
    if (how == Failure::unreachable) failed_ = now + kAfterChange;
    out_ = kNothing;
  }
  // From now on another service is asked.
  void turned(Micros now) { failed_ = std::min(failed_, now + kAfterTurn); }

  // From then on what this node has not heard may count as told; kNothing: nothing does.
  Micros told_from() const { return std::min({out_, missed_, failed_}); }
  // When the service is asked again at the latest, so that a whole answer can be here before.
  Micros ask_by() const {
    return told_from() == kNothing ? kNothing : told_from() - kAfterWait - kAfterWait / 4;
  }
  static constexpr Micros kNothing = Micros::max();

 private:
  Micros out_ = kNothing, missed_ = kNothing, failed_ = kNothing;
};

}  // namespace flintweir::node

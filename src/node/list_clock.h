// When what a call for the list keeps back counts as told all the same. One clock, whether lists are pushed
// or asked for. No I/O and no clock of its own.
#pragma once

#include <algorithm>
#include <optional>

#include "ids.h"

namespace flintweir::node {

class ListClock {
 public:
  // The protocol's figures: so long after a watch fell silent, or after the wait that a call was allowed.
  static constexpr Micros kAfterSilence = std::chrono::seconds(6), kAfterWait = std::chrono::seconds(2);

  // A call goes out that the service may hold for so long. It may have fallen silent at once.
  void called(Micros now, Micros wait) { out_ = now + std::max(kAfterSilence, wait + kAfterWait); }
  void answered() { out_ = missed_ = kNothing; }
  // Of a call that failed openly nothing was kept back; of a silent one, nobody knows until a list comes.
  void failed(bool silent) {
    if (silent) missed_ = std::min(missed_, out_);
    out_ = kNothing;
  }
  // From then on what this node has not heard may count as told; kNothing: nothing does.
  Micros told_from() const { return std::min(out_, missed_); }

 private:
  static constexpr Micros kNothing = Micros::max();
  Micros out_ = kNothing, missed_ = kNothing;
};

}  // namespace flintweir::node

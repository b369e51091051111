// Small arithmetic on times and means.
#pragma once

#include <algorithm>
#include <cmath>

#include "ids.h"

namespace flintweir {

inline constexpr Micros kNever = Micros::min();

inline double seconds(Micros t) { return static_cast<double>(t.count()) / 1e6; }
inline double ratio(Micros part, Micros whole) { return seconds(part) / std::max(seconds(whole), 1e-6); }

// What is left of one after `age`, where it fades by half every `half`.
inline double fade(Micros age, Micros half) { return std::exp2(-ratio(age, half)); }

// A mean in which each new value counts 1 - keep.
class FadingMean {
 public:
  void add(double x, double keep) {
    mean_ = known_ ? keep * mean_ + (1 - keep) * x : x;
    known_ = true;
  }
  double or_else(double x) const { return known_ ? mean_ : x; }
  bool known() const { return known_; }

 private:
  double mean_ = 0;
  bool known_ = false;
};

}  // namespace flintweir

// Small arithmetic on times, means and rates.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

#include "ids.h"

namespace flintweir {

inline constexpr Micros kNever = Micros::min();

inline double seconds(Micros t) { return static_cast<double>(t.count()) / 1e6; }
inline double ratio(Micros part, Micros whole) { return seconds(part) / std::max(seconds(whole), 1e-6); }

// What is left of one after `age`, where it fades by half every `half`.
inline double decay(Micros age, Micros half_life) { return std::exp2(-ratio(age, half_life)); }

// The finalizer of splitmix64: spreads the bits of a number over all of its bits.
inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

// A mean in which each new value counts 1 - keep.
class DecayingMean {
 public:
  void add(double x, double keep) {
    mean_ = known_ ? keep * mean_ + (1 - keep) * x : x;
    known_ = true;
  }
  double value_or(double x) const { return known_ ? mean_ : x; }
  bool known() const { return known_; }

 private:
  double mean_ = 0;
  bool known_ = false;
};

// The gaps between signs of life: their mean and how they spread about it.
class GapStatistics {
 public:
  void add(Micros now) {
    if (last_ != kNever && now > last_) {
      const double gap = seconds(now - last_);
      const double off = gap - mean_.value_or(gap);
      mean_.add(gap, kKeep);
      square_.add(off * off, kKeep);
    }
    last_ = now;
  }
  bool known() const { return mean_.known(); }
  Micros last() const { return last_; }
  double mean() const { return mean_.value_or(0); }
  double deviation() const { return std::sqrt(square_.value_or(0)); }

 private:
  static constexpr double kKeep = 0.9;
  Micros last_ = kNever;
  DecayingMean mean_, square_;
};

// What was added lately, each with its time.
class SlidingSum {
 public:
  void add(Micros now, double x, Micros keep_since) {
    std::erase_if(added_, [&](const auto& a) { return a.first < keep_since; });
    added_.emplace_back(now, x);
  }
  double since(Micros from) const {
    double sum = 0;
    for (const auto& [at, x] : added_) sum += at >= from ? x : 0;
    return sum;
  }

 private:
  std::vector<std::pair<Micros, double>> added_;
};

// A sum that fades by half every `half`.
class DecayingSum {
 public:
  explicit DecayingSum(Micros half_life) : half_life_(half_life) {}
  void set_half_life(Micros half_life) { half_life_ = half_life; }
  void add(Micros now, double x) {
    sum_ = at(now) + x;
    at_ = now;
  }
  double at(Micros now) const { return sum_ == 0 ? 0 : sum_ * decay(now - at_, half_life_); }
  // What was added a second, where the adding began at `since`; no shorter than `least` is believed.
  double per_second(Micros now, Micros since, Micros least) const {
    const double weight = seconds(half_life_) / std::log(2.0) * (1 - decay(now - since, half_life_));
    return at(now) / std::max(weight, seconds(least));
  }

 private:
  Micros half_life_;
  Micros at_{0};
  double sum_ = 0;
};

}  // namespace flintweir

// Arithmetic on times, and statistics that forget old values.
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
// `whole` counts as a microsecond at least.
inline double ratio(Micros part, Micros whole) { return seconds(part) / std::max(seconds(whole), 1e-6); }

// The factor by which a value has decayed after `age`.
inline double decay(Micros age, Micros half_life) { return std::exp2(-ratio(age, half_life)); }

// The finalizer of splitmix64: spreads the bits of a number over all of its bits.
inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

// An exponentially weighted moving mean.
class DecayingMean {
 public:
  // The new value has the weight 1 - old_weight.
  void add(double x, double old_weight) {
    mean_ = known_ ? old_weight * mean_ + (1 - old_weight) * x : x;
    known_ = true;
  }
  double value_or(double x) const { return known_ ? mean_ : x; }
  bool known() const { return known_; }

 private:
  double mean_ = 0;
  bool known_ = false;
};

// Mean and standard deviation of the gaps between events, recent gaps weighing most.
class GapStatistics {
 public:
  void add(Micros now) {
    if (last_ != kNever && now > last_) {
      const double gap = seconds(now - last_);
      const double deviation_from_mean = gap - mean_.value_or(gap);
      mean_.add(gap, kOldWeight);
      square_.add(deviation_from_mean * deviation_from_mean, kOldWeight);
    }
    last_ = now;
  }
  bool known() const { return mean_.known(); }
  Micros last() const { return last_; }
  double mean() const { return mean_.value_or(0); }
  double deviation() const { return std::sqrt(square_.value_or(0)); }

 private:
  static constexpr double kOldWeight = 0.9;
  Micros last_ = kNever;
  DecayingMean mean_, square_;
};

// The sum of what was added since a given time.
class SlidingSum {
 public:
  // Entries before `keep_since` are dropped.
  void add(Micros now, double x, Micros keep_since) {
    std::erase_if(entries_, [&](const auto& a) { return a.first < keep_since; });
    entries_.emplace_back(now, x);
  }
  double since(Micros from) const {
    double sum = 0;
    for (const auto& [at, x] : entries_) sum += at >= from ? x : 0;
    return sum;
  }

 private:
  std::vector<std::pair<Micros, double>> entries_;
};

// A sum that decays by half in each half-life.
class DecayingSum {
 public:
  explicit DecayingSum(Micros half_life) : half_life_(half_life) {}
  void set_half_life(Micros half_life) { half_life_ = half_life; }
  void add(Micros now, double x) {
    sum_ = at(now) + x;
    at_ = now;
  }
  double at(Micros now) const { return sum_ == 0 ? 0 : sum_ * decay(now - at_, half_life_); }
  // The rate of what was added, per second, if counting began at `since`. Never estimated from less than
  // `min_time`.
  double per_second(Micros now, Micros since, Micros min_time) const {
    const double weight = seconds(half_life_) / std::log(2.0) * (1 - decay(now - since, half_life_));
    return at(now) / std::max(weight, seconds(min_time));
  }

 private:
  Micros half_life_;
  Micros at_{0};
  double sum_ = 0;
};

}  // namespace flintweir

// Measurements of a run: utility requested and served, sessions refused and moved, and time to UP.
#pragma once

#include <array>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "numbers.h"

namespace flintweir::lab {

// Histogram with 16 buckets per power of two, so that a percentile is off by 5% at most. Own code, because no
// package of the C++ registry offers this.
class Histogram {
 public:
  void add(Micros value) {
    ++buckets_[bucket(static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0)))];
    ++count_;
  }
  void add(const Histogram& other) {
    for (std::size_t i = 0; i < buckets_.size(); ++i) buckets_[i] += other.buckets_[i];
    count_ += other.count_;
  }
  std::uint64_t count() const { return count_; }
  // The value below which this share of all values lies; zero if the histogram is empty.
  Micros quantile(double share) const {
    const double wanted = share * static_cast<double>(count_);
    double sum = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      sum += static_cast<double>(buckets_[i]);
      if (count_ > 0 && sum >= wanted && buckets_[i] > 0)
        return Micros{static_cast<std::int64_t>(lower_bound(i + 1))};
    }
    return Micros{0};
  }

 private:
  static constexpr unsigned kBucketsPerOctave = 16;
  static std::size_t bucket(std::uint64_t v) {
    if (v < kBucketsPerOctave) return v;
    const unsigned high = 63 - static_cast<unsigned>(__builtin_clzll(v));
    return std::min<std::size_t>((high - 3) * kBucketsPerOctave + ((v >> (high - 4)) - kBucketsPerOctave),
                                 kBuckets - 1);
  }
  static std::uint64_t lower_bound(std::size_t bucket) {
    if (bucket < kBucketsPerOctave) return bucket;
    const std::size_t high = bucket / kBucketsPerOctave + 3;
    return (kBucketsPerOctave + bucket % kBucketsPerOctave) << (high - 4);
  }
  static constexpr std::size_t kBuckets = 40 * kBucketsPerOctave;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t count_ = 0;
};

struct Second {
  double asked = 0, served = 0;  // utility
  unsigned sessions = 0, accepted = 0, refused = 0, torn_down = 0, unanswered = 0, moved = 0, broken = 0;
  std::vector<double> loads;  // by host; negative while the host is down
};

struct Tally {
  double asked = 0, served = 0;
  // Sums over cold hosts and seconds: the load as a share of the mean warm host's, and the host-seconds.
  double cold_load = 0, cold_seconds = 0;
  std::uint64_t sessions = 0, accepted = 0, refused = 0, torn_down = 0, unanswered = 0, moved = 0, broken = 0,
                crossed = 0, lines = 0;
  Histogram to_up;
  double service() const { return asked > 0 ? served / asked : 1; }
  void add(const Tally& o) {
    asked += o.asked, served += o.served, sessions += o.sessions, accepted += o.accepted,
        refused += o.refused;
    torn_down += o.torn_down, unanswered += o.unanswered, moved += o.moved, broken += o.broken;
    cold_load += o.cold_load, cold_seconds += o.cold_seconds;
    crossed += o.crossed, lines += o.lines;
    to_up.add(o.to_up);
  }
};

// The figure with that name, as used in `measures` of an experiment; nullopt if the name is unknown.
std::optional<double> figure(const Tally& t, const std::string& name);
const std::vector<std::string>& figure_names();

}  // namespace flintweir::lab

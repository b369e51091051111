// What a run was worth: seconds asked for and well served, what was refused and moved, and how long it took.
#pragma once

#include <array>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "numbers.h"

namespace flintweir::lab {

// Counts in cells that grow with the value: 16 to each power of two, so that a percentile is off by 5% at the
// most. Nothing that the registry serves for C++ does this.
class Histogram {
 public:
  void add(Micros value) {
    ++cells_[cell(static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0)))];
    ++count_;
  }
  void add(const Histogram& other) {
    for (std::size_t i = 0; i < cells_.size(); ++i) cells_[i] += other.cells_[i];
    count_ += other.count_;
  }
  std::uint64_t count() const { return count_; }
  // The value under which this share of all lies; zero where there is none.
  Micros at(double share) const {
    const double wanted = share * static_cast<double>(count_);
    double sum = 0;
    for (std::size_t i = 0; i < cells_.size(); ++i) {
      sum += static_cast<double>(cells_[i]);
      if (count_ > 0 && sum >= wanted && cells_[i] > 0)
        return Micros{static_cast<std::int64_t>(least(i + 1))};
    }
    return Micros{0};
  }

 private:
  static constexpr unsigned kFine = 16;
  static std::size_t cell(std::uint64_t v) {
    if (v < kFine) return v;
    const unsigned high = 63 - static_cast<unsigned>(__builtin_clzll(v));
    return std::min<std::size_t>((high - 3) * kFine + ((v >> (high - 4)) - kFine), kCells - 1);
  }
  static std::uint64_t least(std::size_t cell) {
    if (cell < kFine) return cell;
    const std::size_t high = cell / kFine + 3;
    return (kFine + cell % kFine) << (high - 4);
  }
  static constexpr std::size_t kCells = 40 * kFine;
  std::array<std::uint64_t, kCells> cells_{};
  std::uint64_t count_ = 0;
};

struct Second {
  double asked = 0, served = 0;  // utility
  unsigned sessions = 0, accepted = 0, refused = 0, torn_down = 0, unanswered = 0, moved = 0, broken = 0;
  std::vector<double> loads;  // of each host, below zero where it is down
};

struct Tally {
  double asked = 0, served = 0;
  double cold_load = 0, cold_seconds = 0;  // of hosts while they are cold, as shares of what warm ones carry
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

// The figure of that name, as an experiment asks for; nothing where there is none.
std::optional<double> figure(const Tally& t, const std::string& name);
const std::vector<std::string>& figure_names();

}  // namespace flintweir::lab

// The rule on further dials, where the settings state one: in any window of so long, those beyond each
// session's first number at most a floor and a share of the sessions taken in it. Exact; no I/O and no clock
// of its own.
#pragma once

#include <optional>
#include <vector>

#include "balance.h"

namespace flintweir {

// Times that only go up, kept while they lie in a window. It grows to the most that one has held.
class Window {
 public:
  void add(Micros at) {
    if (held_ == ring_.size()) grow();
    ring_[(first_ + held_++) % ring_.size()] = at;
  }
  // Drops those before `from`, and those at it where it is not part of the window.
  void begin_at(Micros from, bool part) {
    while (held_ > 0 && (ring_[first_] < from || (!part && ring_[first_] == from))) {
      first_ = (first_ + 1) % ring_.size();
      --held_;
    }
  }
  std::size_t size() const { return held_; }

 private:
  void grow() {
    std::vector<Micros> larger(2 * ring_.size());
    for (std::size_t i = 0; i < held_; ++i) larger[i] = ring_[(first_ + i) % ring_.size()];
    ring_ = std::move(larger);
    first_ = 0;
  }
  std::vector<Micros> ring_ = std::vector<Micros>(256);
  std::size_t first_ = 0, held_ = 0;
};

class RetryBudget {
 public:
  explicit RetryBudget(std::optional<RetryBudgetLimits> rule) : rule_(rule) {}
  void took(Micros now) {
    if (!rule_) return;
    taken_.begin_at(now - rule_->window, false);
    taken_.add(now);
  }
  // Whether one more may go out now. Where a bound falls on the very edge, a dial counts and a session does
  // not.
  bool allows(Micros now) {
    if (!rule_) return true;
    taken_.begin_at(now - rule_->window, false);
    spent_.begin_at(now - rule_->window, true);
    return static_cast<double>(spent_.size() + 1) <=
           rule_->min_retries + rule_->retry_ratio * static_cast<double>(taken_.size());
  }
  void spend(Micros now) {
    if (rule_) spent_.add(now);
  }

 private:
  std::optional<RetryBudgetLimits> rule_;
  Window taken_, spent_;
};

}  // namespace flintweir

// The retry budget, if the settings have one: in any window of its length there are at most min_retries
// retries, and retry_ratio more for each session started in that window. A retry is a dial beyond its
// session's first. The count is exact. Does no I/O and reads no clock.
#pragma once

#include <optional>
#include <vector>

#include "balance.h"

namespace flintweir {

// Times in ascending order within a sliding window. The memory grows to the most times that it has held.
class SlidingWindow {
 public:
  void add(Micros at) {
    if (size_ == ring_.size()) grow();
    ring_[(first_ + size_++) % ring_.size()] = at;
  }
  // Drops the times before `from`, and unless `inclusive` also those equal to it.
  void drop_before(Micros from, bool inclusive) {
    while (size_ > 0 && (ring_[first_] < from || (!inclusive && ring_[first_] == from))) {
      first_ = (first_ + 1) % ring_.size();
      --size_;
    }
  }
  std::size_t size() const { return size_; }

 private:
  void grow() {
    std::vector<Micros> larger(2 * ring_.size());
    for (std::size_t i = 0; i < size_; ++i) larger[i] = ring_[(first_ + i) % ring_.size()];
    ring_ = std::move(larger);
    first_ = 0;
  }
  std::vector<Micros> ring_ = std::vector<Micros>(256);
  std::size_t first_ = 0, size_ = 0;
};

class RetryBudget {
 public:
  explicit RetryBudget(std::optional<RetryBudgetLimits> limits) : limits_(limits) {}
  void session_started(Micros now) {
    if (!limits_) return;
    starts_.drop_before(now - limits_->window, false);
    starts_.add(now);
  }
  // Whether one more retry may be made now. At the very start of the window a retry counts and a session does
  // not, so that the limit holds for any window.
  bool allows_retry(Micros now) {
    if (!limits_) return true;
    starts_.drop_before(now - limits_->window, false);
    retries_.drop_before(now - limits_->window, true);
    return static_cast<double>(retries_.size() + 1) <=
           limits_->min_retries + limits_->retry_ratio * static_cast<double>(starts_.size());
  }
  void record_retry(Micros now) {
    if (limits_) retries_.add(now);
  }

 private:
  std::optional<RetryBudgetLimits> limits_;
  SlidingWindow starts_, retries_;
};

}  // namespace flintweir

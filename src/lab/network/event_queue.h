// The virtual clock and all that is due on it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

class EventQueue {
 public:
  using Callback = std::function<void()>;
  explicit EventQueue(Micros start) : now_(start) {}
  Micros now() const { return now_; }
  // What is due at the same time comes in the order in which it was asked for.
  void schedule_at(Micros when, Callback callback) {
    heap_.push_back({std::max(when, now_), order_++, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end());
  }
  void schedule_after(Micros in, Callback callback) { schedule_at(now_ + in, std::move(callback)); }
  void run_until(Micros end) {
    while (!heap_.empty() && heap_.front().at <= end) {
      std::pop_heap(heap_.begin(), heap_.end());
      Due due = std::move(heap_.back());
      heap_.pop_back();
      now_ = due.at;
      ++executed_;
      due.callback();
    }
    now_ = std::max(now_, end);
  }
  std::uint64_t executed() const { return executed_; }

 private:
  struct Due {
    Micros at;
    std::uint64_t order;
    Callback callback;
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  Micros now_;
  std::uint64_t order_ = 0, executed_ = 0;
  std::vector<Due> heap_;
};

}  // namespace flintweir::lab

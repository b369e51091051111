// The virtual clock and all that is due on it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

class Timeline {
 public:
  using Act = std::function<void()>;
  explicit Timeline(Micros start) : now_(start) {}
  Micros now() const { return now_; }
  // What is due at the same time comes in the order in which it was asked for.
  void at(Micros when, Act act) {
    heap_.push_back({std::max(when, now_), order_++, std::move(act)});
    std::push_heap(heap_.begin(), heap_.end());
  }
  void after(Micros in, Act act) { at(now_ + in, std::move(act)); }
  void run_until(Micros end) {
    while (!heap_.empty() && heap_.front().at <= end) {
      std::pop_heap(heap_.begin(), heap_.end());
      Due due = std::move(heap_.back());
      heap_.pop_back();
      now_ = due.at;
      ++done_;
      due.act();
    }
    now_ = std::max(now_, end);
  }
  std::uint64_t done() const { return done_; }

 private:
  struct Due {
    Micros at;
    std::uint64_t order;
    Act act;
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  Micros now_;
  std::uint64_t order_ = 0, done_ = 0;
  std::vector<Due> heap_;
};

}  // namespace flintweir::lab

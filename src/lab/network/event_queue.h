// The clock of a simulation and the queue of its scheduled events.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// Runs callbacks in the order of their times and advances the clock to each. Single-threaded.
class EventQueue {
 public:
  using Callback = std::function<void()>;
  explicit EventQueue(Micros start) : now_(start) {}
  Micros now() const { return now_; }
  // Events of the same time run in the order in which they were scheduled. A time in the past means now.
  void schedule_at(Micros when, Callback callback) {
    heap_.push_back({std::max(when, now_), next_order_++, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end());
  }
  void schedule_after(Micros delay, Callback callback) { schedule_at(now_ + delay, std::move(callback)); }
  // Runs all events up to and including `end`, also those scheduled meanwhile, and sets the clock to `end`.
  void run_until(Micros end) {
    while (!heap_.empty() && heap_.front().at <= end) {
      std::pop_heap(heap_.begin(), heap_.end());
      Event event = std::move(heap_.back());
      heap_.pop_back();
      now_ = event.at;
      ++executed_;
      event.callback();
    }
    now_ = std::max(now_, end);
  }
  std::uint64_t executed() const { return executed_; }  // number of events run so far

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    Callback callback;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  Micros now_;
  std::uint64_t next_order_ = 0, executed_ = 0;
  std::vector<Event> heap_;
};

}  // namespace flintweir::lab

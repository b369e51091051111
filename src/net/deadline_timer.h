// A timer whose deadline may be moved as often as its owner likes.
#pragma once

#include <algorithm>

#include "net/timer_queue.h"

namespace flintweir::net {

class DeadlineEvents {
 public:
  virtual void deadline_reached() = 0;

 protected:
  ~DeadlineEvents() = default;
};

// Entries of the timer queue can't be cancelled, so that each stays there until it expires. This timer
// therefore keeps its entry when the deadline is put off, and schedules the next one only when that expires:
// a peer that puts off a deadline with each of its messages can't fill the queue.
class DeadlineTimer final : TimerEvents {
 public:
  // Both have to outlive this object, which has to outlive its entries in the queue.
  DeadlineTimer(TimerQueue& timers, DeadlineEvents& events) : timers_(timers), events_(events) {}
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // Calls events.deadline_reached() after `delay`, from the event loop. Replaces an earlier deadline.
  void set(Micros delay) {
    deadline_ = timers_.now() + std::max(delay, Micros{0});
    if (deadline_ < scheduled_for_) schedule();
  }
  void cancel() { deadline_ = kNever; }
  // When the deadline is reached; kNever if none is set.
  Micros deadline() const { return deadline_; }

  static constexpr Micros kNever = Micros::max();

 private:
  void schedule() {
    scheduled_for_ = deadline_;
    timers_.schedule(deadline_ - timers_.now(), *this, ++latest_entry_);
  }
  void timer_expired(std::uint64_t entry) override {
    if (entry != latest_entry_) return;
    scheduled_for_ = kNever;
    if (deadline_ == kNever) return;
    if (timers_.now() < deadline_) return schedule();
    deadline_ = kNever;
    events_.deadline_reached();
  }

  TimerQueue& timers_;
  DeadlineEvents& events_;
  Micros deadline_ = kNever;
  Micros scheduled_for_ = kNever;   // when the latest entry expires; kNever if none is in the queue
  std::uint64_t latest_entry_ = 0;  // earlier ones are ignored
};

}  // namespace flintweir::net

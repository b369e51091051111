#include "net/timer_queue.h"

#include <algorithm>

namespace flintweir::net {

void TimerQueue::schedule(Micros in, TimerEvents& whom, std::uint64_t token) {
  heap_.push_back({now() + std::max(in, Micros{0}), order_++, &whom, token});
  std::push_heap(heap_.begin(), heap_.end());
  if (!running_) arm();
}

void TimerQueue::arm() {
  if (heap_.empty() || heap_.front().at >= armed_) return;
  armed_ = heap_.front().at;
  network_.set_alarm(armed_, *this);
}

void TimerQueue::alarm_expired() {
  armed_ = Micros::max();
  running_ = true;
  // What the woken add for now waits for the next turn, so that sockets get theirs in between.
  const Micros now_is = now();
  const std::uint64_t last = order_;
  while (!heap_.empty() && heap_.front().at <= now_is && heap_.front().order < last) {
    std::pop_heap(heap_.begin(), heap_.end());
    const Due due = heap_.back();
    heap_.pop_back();
    due.whom->timer_expired(due.token);
  }
  running_ = false;
  arm();
}

}  // namespace flintweir::net

#include "net/timer_queue.h"

#include <algorithm>

namespace flintweir::net {

void TimerQueue::schedule(Micros delay, TimerEvents& events, std::uint64_t token) {
  heap_.push_back({now() + std::max(delay, Micros{0}), next_sequence_++, &events, token});
  std::push_heap(heap_.begin(), heap_.end());
  peak_size_ = std::max(peak_size_, heap_.size());
  if (!dispatching_) update_alarm();
}

void TimerQueue::update_alarm() {
  if (heap_.empty() || heap_.front().expiry >= alarm_at_) return;
  alarm_at_ = heap_.front().expiry;
  network_.set_alarm(alarm_at_, *this);
}

void TimerQueue::alarm_expired() {
  alarm_at_ = Micros::max();
  dispatching_ = true;
  // Timers that the callbacks add for now wait for the next turn of the event loop, so that socket events are
  // handled in between.
  const Micros now_is = now();
  const std::uint64_t first_new = next_sequence_;
  while (!heap_.empty() && heap_.front().expiry <= now_is && heap_.front().sequence < first_new) {
    std::pop_heap(heap_.begin(), heap_.end());
    const Timer timer = heap_.back();
    heap_.pop_back();
    timer.events->timer_expired(timer.token);
  }
  dispatching_ = false;
  update_alarm();
}

}  // namespace flintweir::net

#include "net/wakes.h"

#include <algorithm>

namespace flintweir::net {

void Wakes::after(Micros in, Woken& whom, std::uint64_t token) {
  heap_.push_back({now() + std::max(in, Micros{0}), order_++, &whom, token});
  std::push_heap(heap_.begin(), heap_.end());
  if (!running_) arm();
}

void Wakes::arm() {
  if (heap_.empty() || heap_.front().at >= armed_) return;
  armed_ = heap_.front().at;
  network_.ring(armed_, *this);
}

void Wakes::rang() {
  armed_ = Micros::max();
  running_ = true;
  // What the woken add for now waits for the next turn, so that sockets get theirs in between.
  const Micros now_is = now();
  const std::uint64_t last = order_;
  while (!heap_.empty() && heap_.front().at <= now_is && heap_.front().order < last) {
    std::pop_heap(heap_.begin(), heap_.end());
    const Due due = heap_.back();
    heap_.pop_back();
    due.whom->woken(due.token);
  }
  running_ = false;
  arm();
}

}  // namespace flintweir::net

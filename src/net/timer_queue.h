// The queue of a node's timers, on the single alarm of its network; also gives the time.
#pragma once

#include <cstdint>
#include <vector>

#include "net/network.h"

namespace flintweir::net {

class TimerEvents {
 public:
  virtual void timer_expired(std::uint64_t token) = 0;

 protected:
  ~TimerEvents() = default;
};

// Timers can't be cancelled. A receiver decides by the token whether a timer is still of interest.
class TimerQueue final : AlarmEvents {
 public:
  // The network has to outlive this object.
  explicit TimerQueue(Network& network) : network_(network) { heap_.reserve(kReservedTimers); }
  Micros now() const { return network_.now(); }
  // Calls events.timer_expired(token) after `delay`, from the event loop; a zero delay means its next turn.
  // Timers with the same expiry are called in the order in which they were scheduled. `events` has to outlive
  // the timer.
  void schedule(Micros delay, TimerEvents& events, std::uint64_t token);
  // The largest number of timers that were in the queue at a time.
  std::size_t peak_size() const { return peak_size_; }

 private:
  static constexpr std::size_t kReservedTimers = 4096;
  struct Timer {
    Micros expiry;
    std::uint64_t sequence;  // the order among timers with the same expiry
    TimerEvents* events;
    std::uint64_t token;
    // Inverted, so that the heap's front is the earliest timer.
    bool operator<(const Timer& o) const {
      return expiry != o.expiry ? expiry > o.expiry : sequence > o.sequence;
    }
  };
  void update_alarm();
  void alarm_expired() override;

  Network& network_;
  std::vector<Timer> heap_;
  std::size_t peak_size_ = 0;
  std::uint64_t next_sequence_ = 0;
  Micros alarm_at_ = Micros::max();  // max: no alarm is set
  bool dispatching_ = false;
};

}  // namespace flintweir::net

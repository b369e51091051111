// The time, and the one queue of all that is due later.
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

// Wake-ups can't be taken back: whoever is woken knows by the token whether it still wants to be.
class TimerQueue final : AlarmEvents {
 public:
  explicit TimerQueue(Network& network) : network_(network) { heap_.reserve(4096); }
  Micros now() const { return network_.now(); }
  void schedule(Micros in, TimerEvents& whom, std::uint64_t token);

 private:
  struct Due {
    Micros at;
    std::uint64_t order;  // of two due at the same time
    TimerEvents* whom;
    std::uint64_t token;
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void arm();
  void alarm_expired() override;

  Network& network_;
  std::vector<Due> heap_;
  std::uint64_t order_ = 0;
  Micros armed_ = Micros::max();
  bool running_ = false;
};

}  // namespace flintweir::net

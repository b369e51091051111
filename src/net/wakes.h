// The clock, and the one queue of all that is due later.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <vector>

#include "ids.h"

namespace flintweir::net {

// Steady time that starts as Unix time, so that it never steps and is comparable with hosts' start times.
class Clock {
 public:
  Micros now() const {
    return std::chrono::duration_cast<Micros>(zero_ + (std::chrono::steady_clock::now() - began_));
  }

 private:
  std::chrono::system_clock::duration zero_ = std::chrono::system_clock::now().time_since_epoch();
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
};

class Woken {
 public:
  virtual void woken(std::uint64_t token) = 0;

 protected:
  ~Woken() = default;
};

// Wake-ups can't be taken back: whoever is woken knows by the token whether it still wants to be.
class Wakes {
 public:
  explicit Wakes(asio::io_context& io);
  Micros now() const { return clock_.now(); }
  void after(Micros in, Woken& whom, std::uint64_t token);

 private:
  struct Due {
    Micros at;
    std::uint64_t order;  // of two due at the same time
    Woken* whom;
    std::uint64_t token;
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void arm();
  void run();

  Clock clock_;
  asio::steady_timer timer_;
  std::vector<Due> heap_;
  std::uint64_t order_ = 0;
  Micros armed_ = Micros::max();
  bool running_ = false;
};

}  // namespace flintweir::net

// The time, and the one queue of all that is due later.
#pragma once

#include <cstdint>
#include <vector>

#include "net/network.h"

namespace flintweir::net {

class Woken {
 public:
  virtual void woken(std::uint64_t token) = 0;

 protected:
  ~Woken() = default;
};

// Wake-ups can't be taken back: whoever is woken knows by the token whether it still wants to be.
class Wakes final : Alarm {
 public:
  explicit Wakes(Network& network) : network_(network) { heap_.reserve(4096); }
  Micros now() const { return network_.now(); }
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
  void rang() override;

  Network& network_;
  std::vector<Due> heap_;
  std::uint64_t order_ = 0;
  Micros armed_ = Micros::max();
  bool running_ = false;
};

}  // namespace flintweir::net

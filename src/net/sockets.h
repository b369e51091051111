// What all sockets of a node share: the network they are on, and the count against the limit of descriptors.
#pragma once

#include <cstddef>

#include "net/network.h"

namespace flintweir::net {

class Sockets {
 public:
  Sockets(Network& network, std::size_t limit) : network_(network), limit_(limit) {}
  Network& network() { return network_; }
  bool has_room(std::size_t spare) const { return used_ + spare < limit_; }
  void count_opened() { ++used_; }
  void count_closed() { --used_; }

 private:
  Network& network_;
  std::size_t used_ = 0, limit_;
};

}  // namespace flintweir::net

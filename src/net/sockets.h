// State shared by all sockets of a node: their network, and how many are open of the limit on file
// descriptors.
#pragma once

#include <cstddef>

#include "net/network.h"

namespace flintweir::net {

class Sockets {
 public:
  // The network has to outlive this object.
  Sockets(Network& network, std::size_t limit) : network_(network), limit_(limit) {}
  Network& network() { return network_; }
  // Whether one more socket can be opened so that `reserve` further ones remain available.
  bool has_room(std::size_t reserve) const { return open_ + reserve < limit_; }
  void count_opened() { ++open_; }
  void count_closed() { --open_; }

 private:
  Network& network_;
  std::size_t open_ = 0, limit_;
};

}  // namespace flintweir::net

// Loopback addresses for the processes of one run.
#pragma once

#include <memory>

#include "net/kernel_network.h"

namespace flintweir::lab {

// A block of loopback addresses (127.x.y.0/24) that no other LoopbackBlock of this machine has while this
// object exists, in whichever process. The claim is a bound socket, so that it ends with its process.
class LoopbackBlock {
 public:
  static constexpr unsigned kBlocks = 128 * 256;
  static constexpr unsigned kAddresses = 250;

  // Takes the first free block, beginning with number `first` modulo kBlocks. Throws std::runtime_error if
  // there is none. `loop` has to outlive this object.
  LoopbackBlock(net::KernelNetwork& loop, unsigned first);

  // Address `index` of the block, less than kAddresses; throws std::out_of_range otherwise.
  Address address(unsigned index, std::uint16_t port) const;

 private:
  std::unique_ptr<net::KernelNetwork> claim_;
  unsigned number_ = 0;
};

}  // namespace flintweir::lab

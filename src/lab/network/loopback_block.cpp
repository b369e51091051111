#include "lab/network/loopback_block.h"

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace flintweir::lab {
namespace {

// The first address of a block is .1, and its claim is bound behind the last.
constexpr std::uint8_t kFirstByte = 1, kClaimByte = 254;
constexpr std::uint16_t kClaimPort = 7945;

Address block_address(unsigned block, std::uint8_t last_byte, std::uint16_t port) {
  constexpr unsigned kFirstSecondByte = 64;
  Address out;
  out.bytes = {127, static_cast<std::uint8_t>(kFirstSecondByte + block / 256),
               static_cast<std::uint8_t>(block % 256), last_byte};
  out.port = port;
  return out;
}

}  // namespace

LoopbackBlock::LoopbackBlock(net::KernelNetwork& loop, unsigned first) {
  for (unsigned tries = 0; tries < kBlocks; ++tries) {
    number_ = (first + tries) % kBlocks;
    claim_ = std::make_unique<net::KernelNetwork>(loop);
    try {
      claim_->open_datagrams(block_address(number_, kClaimByte, kClaimPort));
      return;
    } catch (const std::system_error& error) {
      if (error.code().value() != EADDRINUSE) throw;
    }
  }
  throw std::runtime_error("no block of loopback addresses is free");
}

Address LoopbackBlock::address(unsigned index, std::uint16_t port) const {
  if (index >= kAddresses) throw std::out_of_range("a block of loopback addresses has 250 of them");
  return block_address(number_, static_cast<std::uint8_t>(kFirstByte + index), port);
}

}  // namespace flintweir::lab

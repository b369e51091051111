// libFuzzer target for the decoder of membership datagrams. Each input is decoded as it is, and again with a
// valid header and checksum so that the fuzzer gets past them. It must not crash or accept a field over its
// limit. Run: build-fuzz/flintweir-fuzz-datagram -max_len=1300 -max_total_time=60
#include "members/datagram.h"

#include <cstdlib>

namespace {

using namespace flintweir;

constexpr std::size_t kHeaderBytes = 12;

struct LimitChecker final : members::DatagramHandler {
  void on_update(const members::Sender&, const members::MemberUpdate& update) override {
    if (update.name.empty() || update.name.size() > members::kMaxNameBytes ||
        update.metadata.size() > members::kMaxMetadataBytes || update.state > members::MemberState::left)
      std::abort();
  }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  LimitChecker checker;
  std::string bytes(reinterpret_cast<const char*>(data), size);
  decode(bytes, "", checker);
  if (bytes.size() < kHeaderBytes) return 0;
  bytes[0] = 'f', bytes[1] = 'w', bytes[2] = static_cast<char>(members::kProtocolVersion);
  members::write_checksum(bytes);
  decode(bytes, "", checker);
  return 0;
}

// Whatever arrives from the network, by libFuzzer: decoded as it is, and once more behind a right checksum,
// so that what lies behind the checksum is reached. Nothing may crash, and nothing that is heard may be over
// its length. Run: build-fuzz/flintweir-fuzz-datagram -max_len=1300 -max_total_time=60
#include "members/datagram.h"

#include <cstdlib>

namespace {

using namespace flintweir;

struct Hearing final : members::DatagramHandler {
  void on_update(const members::Sender&, const members::MemberUpdate& w) override {
    if (w.name.empty() || w.name.size() > members::kMaxNameBytes ||
        w.metadata.size() > members::kMaxMetadataBytes || w.state > members::MemberState::left)
      std::abort();
  }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Hearing hearing;
  std::string bytes(reinterpret_cast<const char*>(data), size);
  decode(bytes, "", hearing);
  if (bytes.size() < 12) return 0;
  bytes[0] = 'f', bytes[1] = 'w', bytes[2] = static_cast<char>(members::kProtocolVersion);
  members::write_checksum(bytes);
  decode(bytes, "", hearing);
  return 0;
}

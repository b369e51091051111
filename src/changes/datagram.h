// Datagrams about changes: encoded, and decoded into calls. A head of twelve bytes, then MessagePack. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "address.h"
#include "changes/change.h"

namespace flintweir::changes {

inline constexpr std::size_t kLongestDatagram = 1200;

struct Sender {
  std::string_view fleet, name;
  Address told;  // where answers go
};

// Nothing comes of what is not heard.
class Hearer {
 public:
  virtual void have_came(const Sender& /*from*/, const Has& /*has*/) {}
  // Of that change, the parts whose bits are set.
  virtual void want_came(const Sender& /*from*/, const Which& /*of*/, std::uint32_t /*parts*/) {}
  virtual void part_came(const Sender& /*from*/, const Which& /*of*/, std::uint32_t /*part*/,
                         std::string_view /*bytes*/) {}
  virtual void ask_came(const Sender& /*from*/, std::uint64_t /*nonce*/) {}
  virtual void status_came(const Sender& /*from*/, std::uint64_t /*nonce*/, const Status& /*status*/) {}

 protected:
  ~Hearer() = default;
};

bool is_change(std::string_view bytes);  // by its mark; it may still be malformed
// False: malformed, of another version, or of another fleet where one is named; nothing is heard then.
bool decode(std::string_view bytes, std::string_view fleet, Hearer& hearer);

std::string have(const Sender& from, const Has& has);
std::string want(const Sender& from, const Which& of, std::uint32_t parts);
std::string part(const Sender& from, const Which& of, std::uint32_t part, std::string_view bytes);
// Those parts of it whose bits are set, a datagram each.
std::vector<std::string> parts(const Sender& from, const Change& of, std::uint32_t wanted);
std::string ask(const Sender& from, std::uint64_t nonce);
std::string status(const Sender& from, std::uint64_t nonce, const Status& status);

}  // namespace flintweir::changes

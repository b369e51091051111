// Datagrams about changes: encoded, and decoded into calls. A head of twelve bytes, then MessagePack. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "address.h"
#include "changes/change.h"

namespace flintweir::changes {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

struct Sender {
  std::string_view fleet, name;
  Address reply_address;  // where answers go
};

// Nothing comes of what is not heard.
class MessageHandler {
 public:
  virtual void on_have(const Sender& /*from*/, const HeldChanges& /*has*/) {}
  // Of that change, the parts whose bits are set.
  virtual void on_want(const Sender& /*from*/, const ChangeId& /*of*/, std::uint32_t /*parts*/) {}
  virtual void on_part(const Sender& /*from*/, const ChangeId& /*of*/, std::uint32_t /*part*/,
                       std::string_view /*bytes*/) {}
  virtual void on_query(const Sender& /*from*/, std::uint64_t /*nonce*/) {}
  virtual void on_status(const Sender& /*from*/, std::uint64_t /*nonce*/, const Status& /*status*/) {}

 protected:
  ~MessageHandler() = default;
};

bool is_change_datagram(std::string_view bytes);  // by its mark; it may still be malformed
// False: malformed, of another version, or of another fleet where one is named; nothing is heard then.
bool decode(std::string_view bytes, std::string_view fleet, MessageHandler& hearer);

std::string encode_have(const Sender& from, const HeldChanges& has);
std::string encode_want(const Sender& from, const ChangeId& of, std::uint32_t parts);
std::string encode_part(const Sender& from, const ChangeId& of, std::uint32_t part, std::string_view bytes);
// Those parts of it whose bits are set, a datagram each.
std::vector<std::string> encode_parts(const Sender& from, const Change& of, std::uint32_t wanted);
std::string encode_query(const Sender& from, std::uint64_t nonce);
std::string encode_status(const Sender& from, std::uint64_t nonce, const Status& status);

}  // namespace flintweir::changes

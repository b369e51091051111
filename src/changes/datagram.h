// Encodes and decodes the datagrams that replicate changes: a header of 12 bytes, then a MessagePack array.
// No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "address.h"
#include "changes/change.h"

namespace flintweir::changes {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The texts point into the datagram while it is decoded.
struct Sender {
  std::string_view fleet, name;
  Address reply_address;
};

// Receives the content of a decoded datagram. Messages that are not overridden are ignored.
class MessageHandler {
 public:
  // The sender announces the changes that it holds.
  virtual void on_have(const Sender& /*from*/, const HeldChanges& /*held*/) {}
  // The sender requests the parts of a change whose bits are set.
  virtual void on_want(const Sender& /*from*/, const ChangeId& /*id*/, std::uint32_t /*parts*/) {}
  virtual void on_part(const Sender& /*from*/, const ChangeId& /*id*/, std::uint32_t /*part*/,
                       std::string_view /*bytes*/) {}
  // The sender requests a status with the same nonce.
  virtual void on_query(const Sender& /*from*/, std::uint64_t /*nonce*/) {}
  virtual void on_status(const Sender& /*from*/, std::uint64_t /*nonce*/, const Status& /*status*/) {}

 protected:
  ~MessageHandler() = default;
};

// Whether the datagram has the magic number of this protocol; it may still be malformed.
bool is_change_datagram(std::string_view bytes);
// Decodes a datagram into one call on `handler`. Returns false without a call if it is malformed, has another
// version or comes from another fleet than `fleet`; an empty `fleet` accepts all.
bool decode(std::string_view bytes, std::string_view fleet, MessageHandler& handler);

std::string encode_have(const Sender& from, const HeldChanges& held);
std::string encode_want(const Sender& from, const ChangeId& id, std::uint32_t parts);
std::string encode_part(const Sender& from, const ChangeId& id, std::uint32_t part, std::string_view bytes);
// One datagram for each part of the change whose bit is set in `wanted`.
std::vector<std::string> encode_parts(const Sender& from, const Change& change, std::uint32_t wanted);
std::string encode_query(const Sender& from, std::uint64_t nonce);
std::string encode_status(const Sender& from, std::uint64_t nonce, const Status& status);

}  // namespace flintweir::changes

// The common format of all datagrams between nodes: a header of 12 bytes, then MessagePack objects that are
// decoded field by field. The header has a magic number (2 bytes), the version (1), the message kind (1), a
// checksum (4, little-endian) and 4 bytes that are zero, reserved for the size of an authentication tag.
// Datagrams are not authenticated.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "address.h"
#include "printable_token.h"

namespace flintweir::packing {

inline constexpr std::size_t kHeaderSize = 12;  // bytes

using Packer = msgpack::packer<msgpack::sbuffer>;

// Thrown when a datagram does not have the expected format.
struct Malformed {};

// Covers everything after the checksum, and the version and message kind before it.
inline std::uint32_t checksum(std::string_view bytes) {
  const auto kind = static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[3]));
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(bytes.data() + 8, bytes.size() - 8,
                                                         kind << 8 | static_cast<std::uint8_t>(bytes[2])));
}
inline void write_checksum(std::string& bytes) {
  const std::uint32_t sum = checksum(bytes);
  for (int i = 0; i < 4; ++i) bytes[4 + static_cast<std::size_t>(i)] = static_cast<char>(sum >> (8 * i));
}
inline bool has_valid_checksum(std::string_view bytes) {
  std::uint32_t sum = 0;
  for (int i = 3; i >= 0; --i)
    sum = sum << 8 | static_cast<std::uint8_t>(bytes[4 + static_cast<std::size_t>(i)]);
  return sum == checksum(bytes);
}

inline void pack_text(Packer& packer, std::string_view text) {
  packer.pack_str(static_cast<std::uint32_t>(text.size()));
  packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

// Packs the IP address and then the port, both in network byte order.
inline void pack_address(Packer& packer, const Address& address) {
  char bytes[18];
  const std::size_t n = address.is_v6 ? 16 : 4;
  std::memcpy(bytes, address.bytes.data(), n);
  bytes[n] = static_cast<char>(address.port >> 8);
  bytes[n + 1] = static_cast<char>(address.port);
  packer.pack_bin(static_cast<std::uint32_t>(n + 2));
  packer.pack_bin_body(bytes, static_cast<std::uint32_t>(n + 2));
}

// Reads the elements of one MessagePack array in order. Every read throws Malformed if the next element is
// missing or of another type. Returned views point into the decoded object.
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object& array) {
    if (array.type != msgpack::type::ARRAY) throw Malformed();
    next_ = array.via.array.ptr;
    end_ = next_ + array.via.array.size;
  }
  std::uint64_t read_number() {
    const msgpack::object& field = next();
    if (field.type != msgpack::type::POSITIVE_INTEGER) throw Malformed();
    return field.via.u64;
  }
  std::string_view read_text(std::size_t max_bytes) {
    const msgpack::object& field = next();
    if (field.type != msgpack::type::STR || field.via.str.size > max_bytes) throw Malformed();
    const std::string_view out(field.via.str.ptr, field.via.str.size);
    // These texts are written to logs and tables without escaping.
    if (!is_printable_token(out)) throw Malformed();
    return out;
  }
  std::string_view read_bytes(std::size_t max_bytes) {
    const msgpack::object& field = next();
    if (field.type != msgpack::type::BIN || field.via.bin.size > max_bytes) throw Malformed();
    return {field.via.bin.ptr, field.via.bin.size};
  }
  Address read_address() {
    const std::string_view bytes = read_bytes(18);
    Address out;
    if (bytes.size() != 6 && bytes.size() != 18) throw Malformed();
    out.is_v6 = bytes.size() == 18;
    std::memcpy(out.bytes.data(), bytes.data(), bytes.size() - 2);
    out.port = static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[bytes.size() - 2]) << 8 |
                                          static_cast<std::uint8_t>(bytes[bytes.size() - 1]));
    return out;
  }
  bool has_more() const { return next_ != end_; }

 private:
  const msgpack::object& next() {
    if (next_ == end_) throw Malformed();
    return *next_++;
  }
  const msgpack::object *next_, *end_;
};

}  // namespace flintweir::packing

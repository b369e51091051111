// What the fleet's datagrams have in common: twelve bytes of head (mark, version, kind, checksum, size of a
// seal that is not used yet), then MessagePack, taken apart field by field. Nothing in them is authenticated.
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

inline constexpr std::size_t kHeaderSize = 12;

using Packer = msgpack::packer<msgpack::sbuffer>;

struct Malformed {};

// Of all behind it, and of version and kind.
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

inline void pack_text(Packer& p, std::string_view s) {
  p.pack_str(static_cast<std::uint32_t>(s.size()));
  p.pack_str_body(s.data(), static_cast<std::uint32_t>(s.size()));
}

inline void pack_address(Packer& p, const Address& a) {
  char bytes[18];
  const std::size_t n = a.is_v6 ? 16 : 4;
  std::memcpy(bytes, a.bytes.data(), n);
  bytes[n] = static_cast<char>(a.port >> 8);
  bytes[n + 1] = static_cast<char>(a.port);
  p.pack_bin(static_cast<std::uint32_t>(n + 2));
  p.pack_bin_body(bytes, static_cast<std::uint32_t>(n + 2));
}

// One array of a datagram, taken field by field.
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object& o) {
    if (o.type != msgpack::type::ARRAY) throw Malformed();
    at_ = o.via.array.ptr;
    end_ = at_ + o.via.array.size;
  }
  std::uint64_t read_number() {
    const msgpack::object& o = next();
    if (o.type != msgpack::type::POSITIVE_INTEGER) throw Malformed();
    return o.via.u64;
  }
  std::string_view read_text(std::size_t longest) {
    const msgpack::object& o = next();
    if (o.type != msgpack::type::STR || o.via.str.size > longest) throw Malformed();
    const std::string_view out(o.via.str.ptr, o.via.str.size);
    // They are written to logs and tables.
    if (!is_printable_token(out)) throw Malformed();
    return out;
  }
  std::string_view read_bytes(std::size_t longest) {
    const msgpack::object& o = next();
    if (o.type != msgpack::type::BIN || o.via.bin.size > longest) throw Malformed();
    return {o.via.bin.ptr, o.via.bin.size};
  }
  Address read_address() {
    const std::string_view b = read_bytes(18);
    Address out;
    if (b.size() != 6 && b.size() != 18) throw Malformed();
    out.is_v6 = b.size() == 18;
    std::memcpy(out.bytes.data(), b.data(), b.size() - 2);
    out.port = static_cast<std::uint16_t>(static_cast<std::uint8_t>(b[b.size() - 2]) << 8 |
                                          static_cast<std::uint8_t>(b[b.size() - 1]));
    return out;
  }
  bool has_more() const { return at_ != end_; }

 private:
  const msgpack::object& next() {
    if (at_ == end_) throw Malformed();
    return *at_++;
  }
  const msgpack::object *at_, *end_;
};

}  // namespace flintweir::packing

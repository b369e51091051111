#include "changes/datagram.h"

#include "packing.h"

namespace flintweir::changes {
namespace {

using namespace packing;

constexpr char kMagic[2] = {'f', 'c'};
constexpr char kProtocolVersion = 1;
constexpr std::size_t kMaxNameBytes = 64;
enum class MessageKind : char { have = 1, want, part, query, status };

// Writes one datagram: an array of the sender's three fields and `fields` further ones.
class DatagramWriter {
 public:
  DatagramWriter(MessageKind kind, const Sender& from, std::uint32_t fields) : packer_(out_) {
    bytes_.assign(kHeaderSize, '\0');
    bytes_[0] = kMagic[0], bytes_[1] = kMagic[1], bytes_[2] = kProtocolVersion,
    bytes_[3] = static_cast<char>(kind);
    packer_.pack_array(3 + fields);
    pack_text(packer_, from.fleet);
    pack_text(packer_, from.name);
    pack_address(packer_, from.reply_address);
  }
  DatagramWriter& number(std::uint64_t n) { return packer_.pack(n), *this; }
  DatagramWriter& change_id(const ChangeId& id) {
    return number(id.number.value).number(id.checksum).number(id.size);
  }
  DatagramWriter& held_changes(const HeldChanges& held) {
    return change_id(held.newest).change_id(held.in_force);
  }
  DatagramWriter& bytes(std::string_view b) {
    packer_.pack_bin(static_cast<std::uint32_t>(b.size()));
    packer_.pack_bin_body(b.data(), static_cast<std::uint32_t>(b.size()));
    return *this;
  }
  std::string finish() {
    bytes_.append(out_.data(), out_.size());
    write_checksum(bytes_);
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
  msgpack::sbuffer out_;
  Packer packer_;
};

std::uint32_t to_uint32(std::uint64_t n) {
  if (n > UINT32_MAX) throw Malformed();
  return static_cast<std::uint32_t>(n);
}

ChangeId read_change_id(FieldReader& fields) {
  ChangeId out;
  out.number = ChangeNumber{fields.read_number()};
  out.checksum = fields.read_number();
  out.size = to_uint32(fields.read_number());
  if (out.size > kMaxTextBytes) throw Malformed();
  return out;
}

HeldChanges read_held_changes(FieldReader& fields) {
  HeldChanges out;
  out.newest = read_change_id(fields);
  out.in_force = read_change_id(fields);
  if (out.in_force > out.newest) throw Malformed();
  return out;
}

void dispatch(MessageKind kind, std::string_view bytes, std::string_view fleet, MessageHandler& handler) {
  // The largest array, map, string, binary and extension, and the nesting depth.
  const msgpack::unpack_limit limit(16, 0, 256, kPartBytes, 0, 3);
  std::size_t at = 0;
  const msgpack::object_handle unpacked =
      msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit);
  if (at != bytes.size()) throw Malformed();
  FieldReader fields(unpacked.get());
  Sender from;
  from.fleet = fields.read_text(kMaxNameBytes);
  from.name = fields.read_text(kMaxNameBytes);
  from.reply_address = fields.read_address();
  // A query may come from a client that does not know the fleet's name.
  if (kind != MessageKind::query && !fleet.empty() && from.fleet != fleet) throw Malformed();
  switch (kind) {
    case MessageKind::have:
      return handler.on_have(from, read_held_changes(fields));
    case MessageKind::want: {
      const ChangeId id = read_change_id(fields);
      return handler.on_want(from, id, to_uint32(fields.read_number()));
    }
    case MessageKind::part: {
      const ChangeId id = read_change_id(fields);
      const std::uint32_t part = to_uint32(fields.read_number());
      return handler.on_part(from, id, part, fields.read_bytes(kPartBytes));
    }
    case MessageKind::query:
      return handler.on_query(from, fields.read_number());
    case MessageKind::status: {
      const std::uint64_t nonce = fields.read_number();
      Status status;
      status.held = read_held_changes(fields);
      status.reason = fields.read_bytes(kMaxReasonBytes);
      return handler.on_status(from, nonce, status);
    }
  }
}

}  // namespace

ChangeId change_id(const Change& change) {
  return {change.number, XXH3_64bits(change.text.data(), change.text.size()),
          static_cast<std::uint32_t>(change.text.size())};
}

bool is_change_datagram(std::string_view bytes) {
  return bytes.size() >= kHeaderSize && bytes[0] == kMagic[0] && bytes[1] == kMagic[1];
}

bool decode(std::string_view bytes, std::string_view fleet, MessageHandler& handler) {
  if (!is_change_datagram(bytes) || bytes.size() > kMaxDatagramBytes || bytes[2] != kProtocolVersion ||
      !has_valid_checksum(bytes))
    return false;
  // Byte 3 is the kind; bytes 8 and 9 are reserved and zero in this version.
  if (bytes[3] < 1 || bytes[3] > static_cast<char>(MessageKind::status) || bytes[8] != 0 || bytes[9] != 0)
    return false;
  try {
    dispatch(static_cast<MessageKind>(bytes[3]), bytes.substr(kHeaderSize), fleet, handler);
  } catch (const Malformed&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return true;
}

std::string encode_have(const Sender& from, const HeldChanges& held) {
  return DatagramWriter(MessageKind::have, from, 6).held_changes(held).finish();
}
std::string encode_want(const Sender& from, const ChangeId& id, std::uint32_t parts) {
  return DatagramWriter(MessageKind::want, from, 4).change_id(id).number(parts).finish();
}
std::string encode_part(const Sender& from, const ChangeId& id, std::uint32_t part, std::string_view bytes) {
  return DatagramWriter(MessageKind::part, from, 5).change_id(id).number(part).bytes(bytes).finish();
}
std::vector<std::string> encode_parts(const Sender& from, const Change& change, std::uint32_t wanted) {
  std::vector<std::string> out;
  const ChangeId id = change_id(change);
  for (std::uint32_t i = 0; i < part_count(change.text.size()); ++i)
    if (wanted >> i & 1)
      out.push_back(
          encode_part(from, id, i, std::string_view(change.text).substr(i * kPartBytes, kPartBytes)));
  return out;
}
std::string encode_query(const Sender& from, std::uint64_t nonce) {
  return DatagramWriter(MessageKind::query, from, 1).number(nonce).finish();
}
std::string encode_status(const Sender& from, std::uint64_t nonce, const Status& status) {
  return DatagramWriter(MessageKind::status, from, 8)
      .number(nonce)
      .held_changes(status.held)
      .bytes(status.reason)
      .finish();
}

}  // namespace flintweir::changes

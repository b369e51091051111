#include "members/datagram.h"

#include <algorithm>
#include <vector>

#include "packing.h"

namespace flintweir::members {
namespace {

using namespace packing;

constexpr char kMagic[2] = {'f', 'w'};
constexpr std::size_t kMaxUpdates = 64;

struct DecodedUpdate {
  MemberUpdate update;
  std::optional<Micros> age;
};

DecodedUpdate decode_update(const msgpack::object& object) {
  FieldReader f(object);
  DecodedUpdate out;
  MemberUpdate& update = out.update;
  update.name = f.read_text(kMaxNameBytes);
  update.generation = Generation{f.read_number()};
  const std::uint64_t incarnation = f.read_number(), state = f.read_number();
  if (update.name.empty() || incarnation > UINT32_MAX ||
      state > static_cast<std::uint64_t>(MemberState::left))
    throw Malformed();
  update.incarnation = static_cast<std::uint32_t>(incarnation);
  update.state = static_cast<MemberState>(state);
  update.address = f.read_address();
  update.zone = f.read_text(kMaxZoneBytes);
  update.version = f.read_text(kMaxVersionBytes);
  update.metadata = f.read_bytes(kMaxMetadataBytes);
  update.reported_by = f.read_text(kMaxNameBytes);
  if (f.has_more()) out.age = Micros{static_cast<std::int64_t>(f.read_number() & INT64_MAX)};
  return out;
}

void decode_body(MessageKind kind, std::string_view bytes, std::string_view fleet, DatagramHandler& handler) {
  const msgpack::unpack_limit limit(kDigestBuckets + 8, 0, 256, 256, 0, 3);
  std::size_t offset = 0;
  std::vector<msgpack::object_handle> handles;  // own what the decoded texts refer to
  const auto next = [&]() -> const msgpack::object& {
    return handles.emplace_back(msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit))
        .get();
  };
  FieldReader head(next());
  // A view query may come from a tool that does not know the fleet's name.
  if (head.read_text(kMaxNameBytes) != fleet && kind != MessageKind::view_query && !fleet.empty())
    throw DecodeError::fleet;
  Sender from;
  from.name = head.read_text(kMaxNameBytes);
  from.generation = Generation{head.read_number()};
  from.address = head.read_address();
  from.digest = head.read_number();
  from.weight = static_cast<std::uint32_t>(std::min<std::uint64_t>(head.read_number(), UINT32_MAX));
  const Nonce nonce{head.read_number()};
  from.from_sync = kind == MessageKind::sync_updates;
  if (from.name.empty() != (kind == MessageKind::view_query)) throw Malformed();
  std::string_view name;  // target of a ping request, or last name of the page before
  Address address;
  std::uint64_t number = 0;
  std::array<std::uint64_t, kDigestBuckets> digests{};
  if (kind == MessageKind::ping_request) {
    name = head.read_text(kMaxNameBytes);
    address = head.read_address();
  } else if (kind == MessageKind::sync_digest) {
    number = head.read_number();
    for (std::uint64_t& digest : digests) digest = head.read_number();
  } else if (kind == MessageKind::name_claim || kind == MessageKind::view_page) {
    number = head.read_number();
  } else if (kind == MessageKind::view_query) {
    name = head.read_text(kMaxNameBytes);
  }
  std::vector<DecodedUpdate> updates;
  while (offset < bytes.size()) {
    if (updates.size() == kMaxUpdates) throw Malformed();
    updates.push_back(decode_update(next()));
  }
  for (const auto& [update, age] : updates) {
    handler.on_update(from, update);
    if (age) handler.on_update_age(*age);
  }
  switch (kind) {
    case MessageKind::ping:
      return handler.on_ping(from, nonce);
    case MessageKind::ack:
      return handler.on_ack(from, nonce);
    case MessageKind::nack:
      return handler.on_nack(from, nonce);
    case MessageKind::ping_request:
      return handler.on_ping_request(from, nonce, name, address);
    case MessageKind::gossip:
    case MessageKind::sync_updates:
      return;
    case MessageKind::sync_digest:
      return handler.on_sync_digest(from, number != 0, digests);
    case MessageKind::name_claim:
      return handler.on_name_claim(from, Micros{static_cast<std::int64_t>(number & INT64_MAX)});
    case MessageKind::view_query:
      return handler.on_view_query(nonce, name);
    case MessageKind::view_page:
      return handler.on_view_page(from, nonce, number != 0);
  }
}

}  // namespace

const char* name_of(DecodeError error) {
  constexpr const char* kNames[] = {"none", "size", "mark", "version", "checksum", "fleet", "malformed"};
  return kNames[static_cast<std::size_t>(error)];
}

DecodeError decode(std::string_view bytes, std::string_view fleet, DatagramHandler& handler) {
  if (bytes.size() < kHeaderSize || bytes.size() > kMaxDatagramBytes) return DecodeError::size;
  if (bytes[0] != kMagic[0] || bytes[1] != kMagic[1]) return DecodeError::mark;
  if (static_cast<std::uint8_t>(bytes[2]) != kProtocolVersion) return DecodeError::version;
  if (!has_valid_checksum(bytes)) return DecodeError::checksum;
  const auto kind = static_cast<std::uint8_t>(bytes[3]);
  if (kind < 1 || kind > static_cast<std::uint8_t>(MessageKind::sync_updates)) return DecodeError::malformed;
  if (bytes[8] != 0 || bytes[9] != 0)
    return DecodeError::malformed;  // an authentication tag, which this version does not know
  try {
    decode_body(static_cast<MessageKind>(kind), bytes.substr(kHeaderSize), fleet, handler);
  } catch (const Malformed&) {
    return DecodeError::malformed;
  } catch (const msgpack::unpack_error&) {
    return DecodeError::malformed;
  } catch (const DecodeError& error) {
    return error;
  }
  return DecodeError::none;
}

DatagramWriter::DatagramWriter(MessageKind kind, std::string_view fleet, const Sender& from, Nonce nonce) {
  bytes_.assign(kHeaderSize, '\0');
  bytes_[0] = kMagic[0];
  bytes_[1] = kMagic[1];
  bytes_[2] = static_cast<char>(kProtocolVersion);
  bytes_[3] = static_cast<char>(kind);
  // Fields of the first array, by MessageKind.
  constexpr std::uint32_t kFieldCounts[] = {0, 7, 7, 7, 9, 7, 8 + kDigestBuckets, 8, 8, 8, 7};
  msgpack::sbuffer out(kMaxDatagramBytes);
  Packer p(out);
  p.pack_array(kFieldCounts[static_cast<std::size_t>(kind)]);
  pack_text(p, fleet);
  pack_text(p, from.name);
  p.pack(from.generation.value);
  pack_address(p, from.address);
  p.pack(from.digest);
  p.pack(from.weight);
  p.pack(nonce.value);
  append({out.data(), out.size()});
}

bool DatagramWriter::append(std::string_view packed) {
  if (bytes_.size() + packed.size() > kMaxDatagramBytes) return false;
  bytes_ += packed;
  return true;
}

DatagramWriter& DatagramWriter::ping_request(std::string_view target, const Address& address) {
  msgpack::sbuffer out;
  Packer p(out);
  pack_text(p, target);
  pack_address(p, address);
  append({out.data(), out.size()});
  return *this;
}

DatagramWriter& DatagramWriter::sync_digest(bool answered,
                                            std::span<const std::uint64_t, kDigestBuckets> digests) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack(static_cast<std::uint8_t>(answered));
  for (const std::uint64_t digest : digests) p.pack(digest);
  append({out.data(), out.size()});
  return *this;
}

DatagramWriter& DatagramWriter::name_claim(Micros uptime) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint64_t>(uptime.count()));
  append({out.data(), out.size()});
  return *this;
}

DatagramWriter& DatagramWriter::view_query(std::string_view after) {
  msgpack::sbuffer out;
  Packer p(out);
  pack_text(p, after);
  append({out.data(), out.size()});
  return *this;
}

DatagramWriter& DatagramWriter::view_page(bool last) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint8_t>(last));
  append({out.data(), out.size()});
  return *this;
}

namespace {

void pack_update(msgpack::sbuffer& out, const MemberUpdate& update, std::optional<Micros> age) {
  Packer p(out);
  p.pack_array(age ? 10 : 9);
  pack_text(p, update.name);
  p.pack(update.generation.value);
  p.pack(update.incarnation);
  p.pack(static_cast<std::uint8_t>(update.state));
  pack_address(p, update.address);
  pack_text(p, update.zone);
  pack_text(p, update.version);
  p.pack_bin(static_cast<std::uint32_t>(update.metadata.size()));
  p.pack_bin_body(update.metadata.data(), static_cast<std::uint32_t>(update.metadata.size()));
  pack_text(p, update.reported_by);
  if (age) p.pack(static_cast<std::uint64_t>(std::max<std::int64_t>(age->count(), 0)));
}

}  // namespace

bool DatagramWriter::add(const MemberUpdate& update) {
  msgpack::sbuffer out;
  pack_update(out, update, std::nullopt);
  return append({out.data(), out.size()});
}

bool DatagramWriter::add(const MemberUpdate& update, Micros age) {
  msgpack::sbuffer out;
  pack_update(out, update, age);
  return append({out.data(), out.size()});
}

void write_checksum(std::string& bytes) { packing::write_checksum(bytes); }

std::string_view DatagramWriter::finish() {
  packing::write_checksum(bytes_);
  return bytes_;
}

}  // namespace flintweir::members

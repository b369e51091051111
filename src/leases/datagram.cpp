#include "leases/datagram.h"

#include "packing.h"

namespace flintweir::leases {
namespace {

using namespace packing;

constexpr char kMagic[2] = {'f', 'l'};
constexpr char kProtocolVersion = 1;
constexpr std::size_t kMaxItems = 64;

Micros to_micros(std::uint64_t n) { return Micros{static_cast<std::int64_t>(n & INT64_MAX)}; }

template <class Enum>
Enum checked_enum(std::uint64_t n, Enum last) {
  if (n < 1 || n > static_cast<std::uint64_t>(last)) throw Malformed();
  return static_cast<Enum>(n);
}

void decode_body(DatagramWriter::Kind kind, std::string_view bytes, DatagramHandler& handler) {
  const msgpack::unpack_limit limit(16, 0, 256, 256, 0, 3);
  std::size_t offset = 0;
  std::vector<msgpack::object_handle> handles;  // own what the decoded texts refer to
  const auto next = [&]() -> const msgpack::object& {
    return handles.emplace_back(msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit))
        .get();
  };
  FieldReader head(next());
  Sender from;
  from.voter_set = head.read_number();
  from.name = head.read_text(kMaxParticipantBytes);
  from.reply_to = head.read_address();
  const bool last = kind == DatagramWriter::Kind::status_page && head.read_number() != 0;
  std::vector<Request> requests;
  std::vector<Reply> replies;
  std::vector<LeaseStatus> statuses;
  for (std::size_t items = 0; offset < bytes.size(); ++items) {
    if (items == kMaxItems) throw Malformed();
    FieldReader f(next());
    if (kind == DatagramWriter::Kind::requests) {
      Request request;
      request.kind = checked_enum(f.read_number(), RequestKind::query);
      request.lease = f.read_text(kMaxLeaseNameBytes);
      request.token = Token{f.read_number()};
      request.round = Round{f.read_number()};
      request.duration = to_micros(f.read_number());
      requests.push_back(request);
    } else if (kind == DatagramWriter::Kind::replies) {
      Reply reply;
      reply.kind = checked_enum(f.read_number(), ReplyKind::queued);
      reply.lease = f.read_text(kMaxLeaseNameBytes);
      reply.token = Token{f.read_number()};
      reply.round = Round{f.read_number()};
      reply.highest_promised = Token{f.read_number()};
      reply.holder = f.read_text(kMaxParticipantBytes);
      reply.remaining = to_micros(f.read_number());
      replies.push_back(reply);
    } else {
      LeaseStatus status;
      status.lease = f.read_text(kMaxLeaseNameBytes);
      status.holder = f.read_text(kMaxParticipantBytes);
      status.token = Token{f.read_number()};
      status.remaining = to_micros(f.read_number());
      status.waiting = static_cast<std::uint32_t>(f.read_number());
      statuses.push_back(status);
    }
  }
  for (const Request& request : requests) handler.on_request(from, request);
  for (const Reply& reply : replies) handler.on_reply(from, reply);
  for (const LeaseStatus& status : statuses) handler.on_lease_status(from, status);
  if (kind == DatagramWriter::Kind::status_page) handler.on_status_page(from, last);
}

std::uint64_t to_number(Micros t) { return static_cast<std::uint64_t>(std::max<std::int64_t>(t.count(), 0)); }

}  // namespace

std::uint64_t voter_set_id(const std::vector<std::string>& voters, Micros duration) {
  std::uint64_t hash = static_cast<std::uint64_t>(duration.count());
  for (const std::string& voter : voters) hash = XXH3_64bits_withSeed(voter.data(), voter.size(), hash);
  return hash;
}

bool is_lease_datagram(std::string_view bytes) {
  return bytes.size() >= kHeaderSize && bytes[0] == kMagic[0] && bytes[1] == kMagic[1];
}

bool decode(std::string_view bytes, DatagramHandler& handler) {
  if (!is_lease_datagram(bytes) || bytes.size() > kMaxDatagramBytes || bytes[2] != kProtocolVersion ||
      !has_valid_checksum(bytes))
    return false;
  // Bytes 8 and 9: the size of an authentication tag, which this version does not know.
  if (bytes[3] < 1 || bytes[3] > static_cast<char>(DatagramWriter::Kind::status_page) || bytes[8] != 0 ||
      bytes[9] != 0)
    return false;
  try {
    decode_body(static_cast<DatagramWriter::Kind>(bytes[3]), bytes.substr(kHeaderSize), handler);
  } catch (const Malformed&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return true;
}

DatagramWriter::DatagramWriter(Kind kind, const Sender& sender) {
  bytes_.assign(kHeaderSize, '\0');
  bytes_[0] = kMagic[0], bytes_[1] = kMagic[1], bytes_[2] = kProtocolVersion,
  bytes_[3] = static_cast<char>(kind);
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(kind == Kind::status_page ? 4 : 3);
  p.pack(sender.voter_set);
  pack_text(p, sender.name);
  pack_address(p, sender.reply_to);
  append({out.data(), out.size()});
}

bool DatagramWriter::append(std::string_view packed) {
  if (bytes_.size() + packed.size() > kMaxDatagramBytes) return false;
  bytes_ += packed;
  return true;
}

DatagramWriter& DatagramWriter::set_last(bool last) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint8_t>(last));
  append({out.data(), out.size()});
  return *this;
}

bool DatagramWriter::add(const Request& request) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  p.pack(static_cast<std::uint8_t>(request.kind));
  pack_text(p, request.lease);
  p.pack(request.token.value);
  p.pack(request.round.value);
  p.pack(to_number(request.duration));
  return append({out.data(), out.size()});
}

bool DatagramWriter::add(const Reply& reply) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(7);
  p.pack(static_cast<std::uint8_t>(reply.kind));
  pack_text(p, reply.lease);
  p.pack(reply.token.value);
  p.pack(reply.round.value);
  p.pack(reply.highest_promised.value);
  pack_text(p, reply.holder);
  p.pack(to_number(reply.remaining));
  return append({out.data(), out.size()});
}

bool DatagramWriter::add(const LeaseStatus& status) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  pack_text(p, status.lease);
  pack_text(p, status.holder);
  p.pack(status.token.value);
  p.pack(to_number(status.remaining));
  p.pack(status.waiting);
  return append({out.data(), out.size()});
}

std::string_view DatagramWriter::finish() {
  write_checksum(bytes_);
  return bytes_;
}

}  // namespace flintweir::leases

#include "leases/datagram.h"

#include "packing.h"

namespace flintweir::leases {
namespace {

using namespace packing;

constexpr char kMark[2] = {'f', 'l'};
constexpr char kVersion = 1;
constexpr std::size_t kMostItems = 64;

Micros micros(std::uint64_t n) { return Micros{static_cast<std::int64_t>(n & INT64_MAX)}; }

template <class Enum>
Enum one_of(std::uint64_t n, Enum last) {
  if (n < 1 || n > static_cast<std::uint64_t>(last)) throw Malformed();
  return static_cast<Enum>(n);
}

void hear(DatagramWriter::Kind kind, std::string_view bytes, DatagramHandler& handler) {
  const msgpack::unpack_limit limit(16, 0, 256, 256, 0, 3);
  std::size_t at = 0;
  std::vector<msgpack::object_handle> kept;
  const auto next = [&]() -> const msgpack::object& {
    return kept.emplace_back(msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit)).get();
  };
  FieldReader head(next());
  Sender from;
  from.voter_set = head.read_number();
  from.name = head.read_text(kMaxParticipantBytes);
  from.reply_to = head.read_address();
  const bool last = kind == DatagramWriter::Kind::status_page && head.read_number() != 0;
  std::vector<Request> requests;
  std::vector<Reply> replies;
  std::vector<LeaseStatus> shown;
  for (std::size_t items = 0; at < bytes.size(); ++items) {
    if (items == kMostItems) throw Malformed();
    FieldReader f(next());
    if (kind == DatagramWriter::Kind::requests) {
      Request r;
      r.kind = one_of(f.read_number(), RequestKind::query);
      r.lease = f.read_text(kMaxLeaseNameBytes);
      r.token = Token{f.read_number()};
      r.round = Round{f.read_number()};
      r.duration = micros(f.read_number());
      requests.push_back(r);
    } else if (kind == DatagramWriter::Kind::replies) {
      Reply r;
      r.kind = one_of(f.read_number(), ReplyKind::queued);
      r.lease = f.read_text(kMaxLeaseNameBytes);
      r.token = Token{f.read_number()};
      r.round = Round{f.read_number()};
      r.highest_promised = Token{f.read_number()};
      r.holder = f.read_text(kMaxParticipantBytes);
      r.remaining = micros(f.read_number());
      replies.push_back(r);
    } else {
      LeaseStatus s;
      s.lease = f.read_text(kMaxLeaseNameBytes);
      s.holder = f.read_text(kMaxParticipantBytes);
      s.token = Token{f.read_number()};
      s.remaining = micros(f.read_number());
      s.waiting = static_cast<std::uint32_t>(f.read_number());
      shown.push_back(s);
    }
  }
  for (const Request& r : requests) handler.on_request(from, r);
  for (const Reply& r : replies) handler.on_reply(from, r);
  for (const LeaseStatus& s : shown) handler.on_lease_status(from, s);
  if (kind == DatagramWriter::Kind::status_page) handler.on_status_page(from, last);
}

std::uint64_t number(Micros t) { return static_cast<std::uint64_t>(std::max<std::int64_t>(t.count(), 0)); }

}  // namespace

std::uint64_t voter_set_id(const std::vector<std::string>& voters, Micros duration) {
  std::uint64_t h = static_cast<std::uint64_t>(duration.count());
  for (const std::string& v : voters) h = XXH3_64bits_withSeed(v.data(), v.size(), h);
  return h;
}

bool is_lease_datagram(std::string_view bytes) {
  return bytes.size() >= kHeaderSize && bytes[0] == kMark[0] && bytes[1] == kMark[1];
}

bool decode(std::string_view bytes, DatagramHandler& handler) {
  if (!is_lease_datagram(bytes) || bytes.size() > kMaxDatagramBytes || bytes[2] != kVersion ||
      !has_valid_checksum(bytes))
    return false;
  if (bytes[3] < 1 || bytes[3] > static_cast<char>(DatagramWriter::Kind::status_page) || bytes[8] != 0 ||
      bytes[9] != 0)
    return false;
  try {
    hear(static_cast<DatagramWriter::Kind>(bytes[3]), bytes.substr(kHeaderSize), handler);
  } catch (const Malformed&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return true;
}

DatagramWriter::DatagramWriter(Kind kind, const Sender& sender) {
  bytes_.assign(kHeaderSize, '\0');
  bytes_[0] = kMark[0], bytes_[1] = kMark[1], bytes_[2] = kVersion, bytes_[3] = static_cast<char>(kind);
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

bool DatagramWriter::add(const Request& r) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  p.pack(static_cast<std::uint8_t>(r.kind));
  pack_text(p, r.lease);
  p.pack(r.token.value);
  p.pack(r.round.value);
  p.pack(number(r.duration));
  return append({out.data(), out.size()});
}

bool DatagramWriter::add(const Reply& r) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(7);
  p.pack(static_cast<std::uint8_t>(r.kind));
  pack_text(p, r.lease);
  p.pack(r.token.value);
  p.pack(r.round.value);
  p.pack(r.highest_promised.value);
  pack_text(p, r.holder);
  p.pack(number(r.remaining));
  return append({out.data(), out.size()});
}

bool DatagramWriter::add(const LeaseStatus& s) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  pack_text(p, s.lease);
  pack_text(p, s.holder);
  p.pack(s.token.value);
  p.pack(number(s.remaining));
  p.pack(s.waiting);
  return append({out.data(), out.size()});
}

std::string_view DatagramWriter::finish() {
  write_checksum(bytes_);
  return bytes_;
}

}  // namespace flintweir::leases

#include "changes/datagram.h"

#include "packing.h"

namespace flintweir::changes {
namespace {

using namespace packing;

constexpr char kMark[2] = {'f', 'c'};
constexpr char kVersion = 1;
constexpr std::size_t kLongestName = 64;
enum class Kind : char { have = 1, want, part, ask, status };

// Puts one datagram together: a single array of so many fields behind those of the sender.
class Writer {
 public:
  Writer(Kind kind, const Sender& from, std::uint32_t fields) : packer_(out_) {
    bytes_.assign(kHeaderSize, '\0');
    bytes_[0] = kMark[0], bytes_[1] = kMark[1], bytes_[2] = kVersion, bytes_[3] = static_cast<char>(kind);
    packer_.pack_array(3 + fields);
    pack_text(packer_, from.fleet);
    pack_text(packer_, from.name);
    pack_address(packer_, from.reply_address);
  }
  Writer& number(std::uint64_t n) { return packer_.pack(n), *this; }
  Writer& change_id(const ChangeId& w) { return number(w.number.value).number(w.checksum).number(w.size); }
  Writer& has(const HeldChanges& h) { return change_id(h.newest).change_id(h.in_force); }
  Writer& bytes(std::string_view b) {
    packer_.pack_bin(static_cast<std::uint32_t>(b.size()));
    packer_.pack_bin_body(b.data(), static_cast<std::uint32_t>(b.size()));
    return *this;
  }
  std::string done() {
    bytes_.append(out_.data(), out_.size());
    write_checksum(bytes_);
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
  msgpack::sbuffer out_;
  Packer packer_;
};

std::uint32_t small(std::uint64_t n) {
  if (n > UINT32_MAX) throw Malformed();
  return static_cast<std::uint32_t>(n);
}

ChangeId which_of(FieldReader& f) {
  ChangeId out;
  out.number = ChangeNumber{f.read_number()};
  out.checksum = f.read_number();
  out.size = small(f.read_number());
  if (out.size > kMaxTextBytes) throw Malformed();
  return out;
}

HeldChanges has_of(FieldReader& f) {
  HeldChanges out;
  out.newest = which_of(f);
  out.in_force = which_of(f);
  if (out.in_force > out.newest) throw Malformed();
  return out;
}

void hear(Kind kind, std::string_view bytes, std::string_view fleet, MessageHandler& hearer) {
  const msgpack::unpack_limit limit(16, 0, 256, kPartBytes, 0, 3);
  std::size_t at = 0;
  const msgpack::object_handle whole =
      msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit);
  if (at != bytes.size()) throw Malformed();
  FieldReader f(whole.get());
  Sender from;
  from.fleet = f.read_text(kLongestName);
  from.name = f.read_text(kLongestName);
  from.reply_address = f.read_address();
  // Whoever asks need not know the fleet's name.
  if (kind != Kind::ask && !fleet.empty() && from.fleet != fleet) throw Malformed();
  switch (kind) {
    case Kind::have:
      return hearer.on_have(from, has_of(f));
    case Kind::want: {
      const ChangeId of = which_of(f);
      return hearer.on_want(from, of, small(f.read_number()));
    }
    case Kind::part: {
      const ChangeId of = which_of(f);
      const std::uint32_t no = small(f.read_number());
      return hearer.on_part(from, of, no, f.read_bytes(kPartBytes));
    }
    case Kind::ask:
      return hearer.on_query(from, f.read_number());
    case Kind::status: {
      const std::uint64_t nonce = f.read_number();
      Status s;
      s.held = has_of(f);
      s.reason = f.read_bytes(kMaxReasonBytes);
      return hearer.on_status(from, nonce, s);
    }
  }
}

}  // namespace

ChangeId change_id(const Change& change) {
  return {change.number, XXH3_64bits(change.text.data(), change.text.size()),
          static_cast<std::uint32_t>(change.text.size())};
}

bool is_change_datagram(std::string_view bytes) {
  return bytes.size() >= kHeaderSize && bytes[0] == kMark[0] && bytes[1] == kMark[1];
}

bool decode(std::string_view bytes, std::string_view fleet, MessageHandler& hearer) {
  if (!is_change_datagram(bytes) || bytes.size() > kMaxDatagramBytes || bytes[2] != kVersion ||
      !has_valid_checksum(bytes))
    return false;
  if (bytes[3] < 1 || bytes[3] > static_cast<char>(Kind::status) || bytes[8] != 0 || bytes[9] != 0)
    return false;
  try {
    hear(static_cast<Kind>(bytes[3]), bytes.substr(kHeaderSize), fleet, hearer);
  } catch (const Malformed&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return true;
}

std::string encode_have(const Sender& from, const HeldChanges& has) {
  return Writer(Kind::have, from, 6).has(has).done();
}
std::string encode_want(const Sender& from, const ChangeId& of, std::uint32_t parts) {
  return Writer(Kind::want, from, 4).change_id(of).number(parts).done();
}
std::string encode_part(const Sender& from, const ChangeId& of, std::uint32_t part, std::string_view bytes) {
  return Writer(Kind::part, from, 5).change_id(of).number(part).bytes(bytes).done();
}
std::vector<std::string> encode_parts(const Sender& from, const Change& of, std::uint32_t wanted) {
  std::vector<std::string> out;
  const ChangeId which = changes::change_id(of);
  for (std::uint32_t i = 0; i < part_count(of.text.size()); ++i)
    if (wanted >> i & 1)
      out.push_back(
          encode_part(from, which, i, std::string_view(of.text).substr(i * kPartBytes, kPartBytes)));
  return out;
}
std::string encode_query(const Sender& from, std::uint64_t nonce) {
  return Writer(Kind::ask, from, 1).number(nonce).done();
}
std::string encode_status(const Sender& from, std::uint64_t nonce, const Status& s) {
  return Writer(Kind::status, from, 8).number(nonce).has(s.held).bytes(s.reason).done();
}

}  // namespace flintweir::changes

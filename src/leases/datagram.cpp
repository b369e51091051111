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

void hear(Writer::Kind kind, std::string_view bytes, Hearer& hearer) {
  const msgpack::unpack_limit limit(16, 0, 256, 256, 0, 3);
  std::size_t at = 0;
  std::vector<msgpack::object_handle> kept;
  const auto next = [&]() -> const msgpack::object& {
    return kept.emplace_back(msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit)).get();
  };
  Fields head(next());
  Sender from;
  from.set = head.number();
  from.name = head.text(kLongestWho);
  from.told = head.place();
  const bool last = kind == Writer::Kind::page && head.number() != 0;
  std::vector<Request> requests;
  std::vector<Reply> replies;
  std::vector<Shown> shown;
  for (std::size_t items = 0; at < bytes.size(); ++items) {
    if (items == kMostItems) throw Malformed();
    Fields f(next());
    if (kind == Writer::Kind::requests) {
      Request r;
      r.ask = one_of(f.number(), Ask::look);
      r.lease = f.text(kLongestLease);
      r.token = Token{f.number()};
      r.round = Round{f.number()};
      r.length = micros(f.number());
      requests.push_back(r);
    } else if (kind == Writer::Kind::replies) {
      Reply r;
      r.say = one_of(f.number(), Say::in_line);
      r.lease = f.text(kLongestLease);
      r.token = Token{f.number()};
      r.round = Round{f.number()};
      r.highest = Token{f.number()};
      r.holder = f.text(kLongestWho);
      r.left = micros(f.number());
      replies.push_back(r);
    } else {
      Shown s;
      s.lease = f.text(kLongestLease);
      s.holder = f.text(kLongestWho);
      s.token = Token{f.number()};
      s.left = micros(f.number());
      s.waiting = static_cast<std::uint32_t>(f.number());
      shown.push_back(s);
    }
  }
  for (const Request& r : requests) hearer.request_came(from, r);
  for (const Reply& r : replies) hearer.reply_came(from, r);
  for (const Shown& s : shown) hearer.shown_came(from, s);
  if (kind == Writer::Kind::page) hearer.page_came(from, last);
}

std::uint64_t number(Micros t) { return static_cast<std::uint64_t>(std::max<std::int64_t>(t.count(), 0)); }

}  // namespace

std::uint64_t set_of(const std::vector<std::string>& voters, Micros length) {
  std::uint64_t h = static_cast<std::uint64_t>(length.count());
  for (const std::string& v : voters) h = XXH3_64bits_withSeed(v.data(), v.size(), h);
  return h;
}

bool is_lease(std::string_view bytes) {
  return bytes.size() >= kHead && bytes[0] == kMark[0] && bytes[1] == kMark[1];
}

bool decode(std::string_view bytes, Hearer& hearer) {
  if (!is_lease(bytes) || bytes.size() > kLongestDatagram || bytes[2] != kVersion || !sealed(bytes))
    return false;
  if (bytes[3] < 1 || bytes[3] > static_cast<char>(Writer::Kind::page) || bytes[8] != 0 || bytes[9] != 0)
    return false;
  try {
    hear(static_cast<Writer::Kind>(bytes[3]), bytes.substr(kHead), hearer);
  } catch (const Malformed&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
  return true;
}

Writer::Writer(Kind kind, const Sender& sender) {
  bytes_.assign(kHead, '\0');
  bytes_[0] = kMark[0], bytes_[1] = kMark[1], bytes_[2] = kVersion, bytes_[3] = static_cast<char>(kind);
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(kind == Kind::page ? 4 : 3);
  p.pack(sender.set);
  text(p, sender.name);
  place(p, sender.told);
  append({out.data(), out.size()});
}

bool Writer::append(std::string_view packed) {
  if (bytes_.size() + packed.size() > kLongestDatagram) return false;
  bytes_ += packed;
  return true;
}

Writer& Writer::last(bool last) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint8_t>(last));
  append({out.data(), out.size()});
  return *this;
}

bool Writer::add(const Request& r) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  p.pack(static_cast<std::uint8_t>(r.ask));
  text(p, r.lease);
  p.pack(r.token.value);
  p.pack(r.round.value);
  p.pack(number(r.length));
  return append({out.data(), out.size()});
}

bool Writer::add(const Reply& r) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(7);
  p.pack(static_cast<std::uint8_t>(r.say));
  text(p, r.lease);
  p.pack(r.token.value);
  p.pack(r.round.value);
  p.pack(r.highest.value);
  text(p, r.holder);
  p.pack(number(r.left));
  return append({out.data(), out.size()});
}

bool Writer::add(const Shown& s) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack_array(5);
  text(p, s.lease);
  text(p, s.holder);
  p.pack(s.token.value);
  p.pack(number(s.left));
  p.pack(s.waiting);
  return append({out.data(), out.size()});
}

std::string_view Writer::done() {
  seal(bytes_);
  return bytes_;
}

}  // namespace flintweir::leases

#include "members/datagram.h"

#include <algorithm>
#include <vector>

#include "packing.h"

namespace flintweir::members {
namespace {

using namespace packing;

constexpr char kMark[2] = {'f', 'w'};
constexpr std::size_t kMostWords = 64;

struct Said {
  Word word;
  std::optional<Micros> age;
};

Said word_of(const msgpack::object& o) {
  Fields f(o);
  Said out;
  Word& w = out.word;
  w.name = f.text(kLongestName);
  w.start = Start{f.number()};
  const std::uint64_t word = f.number(), standing = f.number();
  if (w.name.empty() || word > UINT32_MAX || standing > static_cast<std::uint64_t>(Standing::left))
    throw Malformed();
  w.word = static_cast<std::uint32_t>(word);
  w.standing = static_cast<Standing>(standing);
  w.address = f.place();
  w.zone = f.text(kLongestZone);
  w.version = f.text(kLongestVersion);
  w.note = f.bytes(kLongestNote);
  w.by = f.text(kLongestName);
  if (f.more()) out.age = Micros{static_cast<std::int64_t>(f.number() & INT64_MAX)};
  return out;
}

void hear(Kind kind, std::string_view bytes, std::string_view fleet, Hearer& hearer) {
  const msgpack::unpack_limit limit(kBuckets + 8, 0, 256, 256, 0, 3);
  std::size_t at = 0;
  std::vector<msgpack::object_handle> kept;
  const auto next = [&]() -> const msgpack::object& {
    return kept.emplace_back(msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit)).get();
  };
  Fields head(next());
  // Whoever asks for a view need not know the fleet's name.
  if (head.text(kLongestName) != fleet && kind != Kind::query && !fleet.empty()) throw Wrong::fleet;
  From from;
  from.name = head.text(kLongestName);
  from.start = Start{head.number()};
  from.address = head.place();
  from.digest = head.number();
  from.weight = static_cast<std::uint32_t>(std::min<std::uint64_t>(head.number(), UINT32_MAX));
  const Nonce nonce{head.number()};
  from.exchanges = kind == Kind::views;
  if (from.name.empty() != (kind == Kind::query)) throw Malformed();
  std::string_view whom;
  Address place;
  std::uint64_t number = 0;
  std::array<std::uint64_t, kBuckets> digests{};
  if (kind == Kind::ask) {
    whom = head.text(kLongestName);
    place = head.place();
  } else if (kind == Kind::sync) {
    number = head.number();
    for (std::uint64_t& d : digests) d = head.number();
  } else if (kind == Kind::claim || kind == Kind::page) {
    number = head.number();
  } else if (kind == Kind::query) {
    whom = head.text(kLongestName);
  }
  std::vector<Said> words;
  while (at < bytes.size()) {
    if (words.size() == kMostWords) throw Malformed();
    words.push_back(word_of(next()));
  }
  for (const Said& s : words) {
    hearer.word_came(from, s.word);
    if (s.age) hearer.age_came(*s.age);
  }
  switch (kind) {
    case Kind::ping:
      return hearer.ping_came(from, nonce);
    case Kind::ack:
      return hearer.ack_came(from, nonce);
    case Kind::nack:
      return hearer.nack_came(from, nonce);
    case Kind::ask:
      return hearer.ask_came(from, nonce, whom, place);
    case Kind::gossip:
    case Kind::views:
      return;
    case Kind::sync:
      return hearer.sync_came(from, number != 0, digests);
    case Kind::claim:
      return hearer.claim_came(from, Micros{static_cast<std::int64_t>(number & INT64_MAX)});
    case Kind::query:
      return hearer.query_came(nonce, whom);
    case Kind::page:
      return hearer.page_came(from, nonce, number != 0);
  }
}

}  // namespace

const char* name_of(Wrong wrong) {
  constexpr const char* kNames[] = {"none", "size", "mark", "version", "checksum", "fleet", "malformed"};
  return kNames[static_cast<std::size_t>(wrong)];
}

Wrong decode(std::string_view bytes, std::string_view fleet, Hearer& hearer) {
  if (bytes.size() < kHead || bytes.size() > kLongestDatagram) return Wrong::size;
  if (bytes[0] != kMark[0] || bytes[1] != kMark[1]) return Wrong::mark;
  if (static_cast<std::uint8_t>(bytes[2]) != kVersion) return Wrong::version;
  if (!sealed(bytes)) return Wrong::checksum;
  const auto kind = static_cast<std::uint8_t>(bytes[3]);
  if (kind < 1 || kind > static_cast<std::uint8_t>(Kind::views)) return Wrong::malformed;
  if (bytes[8] != 0 || bytes[9] != 0) return Wrong::malformed;  // sealed: this version knows no seals
  try {
    hear(static_cast<Kind>(kind), bytes.substr(kHead), fleet, hearer);
  } catch (const Malformed&) {
    return Wrong::malformed;
  } catch (const msgpack::unpack_error&) {
    return Wrong::malformed;
  } catch (const Wrong& wrong) {
    return wrong;
  }
  return Wrong::none;
}

Writer::Writer(Kind kind, std::string_view fleet, const From& from, Nonce nonce) {
  bytes_.assign(kHead, '\0');
  bytes_[0] = kMark[0];
  bytes_[1] = kMark[1];
  bytes_[2] = static_cast<char>(kVersion);
  bytes_[3] = static_cast<char>(kind);
  constexpr std::uint32_t kOwnFields[] = {0, 7, 7, 7, 9, 7, 8 + kBuckets, 8, 8, 8, 7};
  msgpack::sbuffer out(kLongestDatagram);
  Packer p(out);
  p.pack_array(kOwnFields[static_cast<std::size_t>(kind)]);
  text(p, fleet);
  text(p, from.name);
  p.pack(from.start.value);
  place(p, from.address);
  p.pack(from.digest);
  p.pack(from.weight);
  p.pack(nonce.value);
  append({out.data(), out.size()});
}

bool Writer::append(std::string_view packed) {
  if (bytes_.size() + packed.size() > kLongestDatagram) return false;
  bytes_ += packed;
  return true;
}

Writer& Writer::ask(std::string_view whom, const Address& at) {
  msgpack::sbuffer out;
  Packer p(out);
  text(p, whom);
  place(p, at);
  append({out.data(), out.size()});
  return *this;
}

Writer& Writer::sync(bool answered, std::span<const std::uint64_t, kBuckets> digests) {
  msgpack::sbuffer out;
  Packer p(out);
  p.pack(static_cast<std::uint8_t>(answered));
  for (const std::uint64_t d : digests) p.pack(d);
  append({out.data(), out.size()});
  return *this;
}

Writer& Writer::claim(Micros running) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint64_t>(running.count()));
  append({out.data(), out.size()});
  return *this;
}

Writer& Writer::query(std::string_view after) {
  msgpack::sbuffer out;
  Packer p(out);
  text(p, after);
  append({out.data(), out.size()});
  return *this;
}

Writer& Writer::page(bool last) {
  msgpack::sbuffer out;
  Packer(out).pack(static_cast<std::uint8_t>(last));
  append({out.data(), out.size()});
  return *this;
}

namespace {

void pack_word(msgpack::sbuffer& out, const Word& w, std::optional<Micros> age) {
  Packer p(out);
  p.pack_array(age ? 10 : 9);
  text(p, w.name);
  p.pack(w.start.value);
  p.pack(w.word);
  p.pack(static_cast<std::uint8_t>(w.standing));
  place(p, w.address);
  text(p, w.zone);
  text(p, w.version);
  p.pack_bin(static_cast<std::uint32_t>(w.note.size()));
  p.pack_bin_body(w.note.data(), static_cast<std::uint32_t>(w.note.size()));
  text(p, w.by);
  if (age) p.pack(static_cast<std::uint64_t>(std::max<std::int64_t>(age->count(), 0)));
}

}  // namespace

bool Writer::add(const Word& word) {
  msgpack::sbuffer out;
  pack_word(out, word, std::nullopt);
  return append({out.data(), out.size()});
}

bool Writer::add(const Word& word, Micros age) {
  msgpack::sbuffer out;
  pack_word(out, word, age);
  return append({out.data(), out.size()});
}

void seal(std::string& bytes) { packing::seal(bytes); }

std::string_view Writer::done() {
  packing::seal(bytes_);
  return bytes_;
}

}  // namespace flintweir::members
